package io.jaywick.core.retry;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The largest number of nodes that was observed within the last ten to twenty minutes. Entries of targets that crash
 * expire within seconds, while the nodes beside them go on serving their callers. Not thread-safe.
 */
public final class PeakNodeCount {

    private static final long PERIOD_NANOS = TimeUnit.MINUTES.toNanos(10);

    private final LongSupplier nanoTime;
    private long periodStartNanos;
    private int previousPeak;
    private int currentPeak;
    private int newest;

    public PeakNodeCount(LongSupplier nanoTime) {
        this.nanoTime = nanoTime;
        this.periodStartNanos = nanoTime.getAsLong();
    }

    /** Records the number of nodes from now on. */
    public void observe(int nodes) {
        advance();
        newest = nodes;
        currentPeak = Math.max(currentPeak, nodes);
    }

    /** Returns the largest number, or 1 before the first observation. */
    public int get() {
        advance();
        return Math.max(1, Math.max(previousPeak, currentPeak));
    }

    private void advance() {
        long now = nanoTime.getAsLong();
        if (now - periodStartNanos >= PERIOD_NANOS) {
            previousPeak = now - periodStartNanos < 2 * PERIOD_NANOS ? currentPeak : newest;
            currentPeak = newest;
            periodStartNanos = now;
        }
    }
}
