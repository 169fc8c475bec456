package io.jaywick.node.relay;

import java.util.function.LongSupplier;

/** Bounds the lines of one kind in each second, and counts those that are left out. Not thread-safe. */
final class LineBudget {

    private static final long SECOND_NANOS = 1_000_000_000;

    private final int linesPerSecond;
    private final LongSupplier nanoTime;
    private long secondStartNanos;
    private int lines;
    private int leftOut;

    LineBudget(int linesPerSecond, LongSupplier nanoTime) {
        this.linesPerSecond = linesPerSecond;
        this.nanoTime = nanoTime;
        this.secondStartNanos = nanoTime.getAsLong();
    }

    /** Begins a new second when it is time; returns how many lines the ended one left out. */
    int renew() {
        long now = nanoTime.getAsLong();
        if (now - secondStartNanos < SECOND_NANOS) {
            return 0;
        }
        int missing = leftOut;
        secondStartNanos = now;
        lines = 0;
        leftOut = 0;
        return missing;
    }

    /** Whether one more line may be written; counts it either way. */
    boolean tryTake() {
        if (lines >= linesPerSecond) {
            leftOut++;
            return false;
        }
        lines++;
        return true;
    }
}
