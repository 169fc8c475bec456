package io.jaywick.node.relay;

import java.util.function.LongSupplier;

/** Bounds the lines of one kind in each second, and counts those that are left out. Not thread-safe. */
final class LogRateLimiter {

    private static final long SECOND_NANOS = 1_000_000_000;

    private final int linesPerSecond;
    private final LongSupplier nanoTime;
    private long secondStartNanos;
    private int written;
    private int suppressed;

    LogRateLimiter(int linesPerSecond, LongSupplier nanoTime) {
        this.linesPerSecond = linesPerSecond;
        this.nanoTime = nanoTime;
        this.secondStartNanos = nanoTime.getAsLong();
    }

    /** Begins a new second when it is time; returns how many lines the ended one left out. */
    int startSecondIfDue() {
        long now = nanoTime.getAsLong();
        if (now - secondStartNanos < SECOND_NANOS) {
            return 0;
        }
        int suppressedBefore = suppressed;
        secondStartNanos = now;
        written = 0;
        suppressed = 0;
        return suppressedBefore;
    }

    /** Whether one more line may be written; counts it either way. */
    boolean tryAcquire() {
        if (written >= linesPerSecond) {
            suppressed++;
            return false;
        }
        written++;
        return true;
    }
}
