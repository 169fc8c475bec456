package io.jaywick.core.limits;

import java.util.concurrent.TimeUnit;

/**
 * Durations of the quota protocol in monotonic nanoseconds. Whoever waits for another node's clock waits longer than
 * the nominal duration, so that clocks whose rates differ cannot overlap two uses of the same quota. See
 * docs/design-limits.md.
 */
public final class LimitTiming {

    /** A wait is longer by one thousandth; two clocks with 200 ppm error each differ by at most 400 ppm. */
    private static final long DRIFT_DIVISOR = 1_000;

    /** Part of the window by which every window is lengthened, for a process that pauses between check and use. */
    private static final long GUARD_DIVISOR = 100;

    private static final long MIN_GUARD_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long MAX_GUARD_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private LimitTiming() {}

    /** Longest pause between the check of a call and its use that cannot break the limit. */
    public static long guardNanos(long windowMillis) {
        long guard = TimeUnit.MILLISECONDS.toNanos(windowMillis) / GUARD_DIVISOR;
        return Math.max(MIN_GUARD_NANOS, Math.min(MAX_GUARD_NANOS, guard));
    }

    /** Window as every node measures it: nominal length, clock drift and guard. */
    public static long guardedWindowNanos(long windowMillis) {
        return withDriftMargin(TimeUnit.MILLISECONDS.toNanos(windowMillis)) + guardNanos(windowMillis);
    }

    /** Least time on the own clock in which the nominal duration has passed on every other clock. */
    public static long withDriftMargin(long nanos) {
        return nanos + nanos / DRIFT_DIVISOR;
    }
}
