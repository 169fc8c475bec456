package io.jaywick.node.relay;

import java.util.function.LongSupplier;

/** Limits the log lines of one kind in each second and counts the suppressed ones. Not thread-safe. */
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

    /** Starts a new second if the current one is over; returns how many lines the ended one suppressed, else 0. */
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

    /** Returns whether one more line may be written, and counts it as written or suppressed. */
    boolean tryAcquire() {
        if (written >= linesPerSecond) {
            suppressed++;
            return false;
        }
        written++;
        return true;
    }
}
