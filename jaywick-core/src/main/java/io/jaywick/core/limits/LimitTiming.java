package io.jaywick.core.limits;

import java.util.concurrent.TimeUnit;

/**
 * Durations of the quota protocol, in nanoseconds of the monotonic clock. A node that waits for a duration to pass on
 * the clock of another node waits longer than the nominal duration, so that clock drift cannot let two nodes use the
 * same quota at the same time. See docs/design-limits.md.
 */
public final class LimitTiming {

    /** Waits are lengthened by a thousandth. Two clocks with an error of 200 ppm each differ by at most 400 ppm. */
    private static final long DRIFT_DIVISOR = 1_000;

    /** Every window is lengthened by a hundredth, for a process that pauses between the check and the use of a call. */
    private static final long GUARD_DIVISOR = 100;

    private static final long MIN_GUARD_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long MAX_GUARD_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private LimitTiming() {}

    /**
     * Returns the longest pause between the check and the use of a call that cannot break the limit. The value is
     * between 1 ms and 100 ms.
     */
    public static long guardNanos(long windowMillis) {
        long guard = TimeUnit.MILLISECONDS.toNanos(windowMillis) / GUARD_DIVISOR;
        return Math.max(MIN_GUARD_NANOS, Math.min(MAX_GUARD_NANOS, guard));
    }

    /** Returns the window length that every node applies: the nominal length plus drift margin plus guard. */
    public static long guardedWindowNanos(long windowMillis) {
        return withDriftMargin(TimeUnit.MILLISECONDS.toNanos(windowMillis)) + guardNanos(windowMillis);
    }

    /**
     * Returns the shortest time on the local clock after which the given duration has passed on the clock of every
     * other node.
     */
    public static long withDriftMargin(long nanos) {
        return nanos + nanos / DRIFT_DIVISOR;
    }
}
