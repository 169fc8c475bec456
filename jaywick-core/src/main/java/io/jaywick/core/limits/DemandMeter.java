package io.jaywick.core.limits;

import java.util.concurrent.TimeUnit;

/**
 * Estimates the calls per window that callers of one node ask for, admitted or not. The short meter follows a rise
 * within an eighth of the window; the long meter keeps quota for a whole window after a fall, so that callers with
 * gaps between bursts keep it.
 */
final class DemandMeter {

    private static final int LONG_BUCKETS = 16;
    private static final int SHORT_BUCKETS = 4;
    private static final int SHORT_PARTS = 8;

    /** Fewer calls than this in the short window say little about the rate. */
    private static final long SHORT_MINIMUM = 4;

    private final WindowCounter longWindow;
    private final WindowCounter shortWindow;

    DemandMeter(long windowMillis) {
        long windowNanos = TimeUnit.MILLISECONDS.toNanos(windowMillis);
        longWindow = new WindowCounter(windowNanos, LONG_BUCKETS);
        shortWindow = new WindowCounter(windowNanos / SHORT_PARTS, SHORT_BUCKETS);
    }

    void add(long nowNanos) {
        longWindow.add(nowNanos);
        shortWindow.add(nowNanos);
    }

    void resize(long windowMillis, long nowNanos) {
        long windowNanos = TimeUnit.MILLISECONDS.toNanos(windowMillis);
        longWindow.resize(windowNanos, nowNanos);
        shortWindow.resize(windowNanos / SHORT_PARTS, nowNanos);
    }

    /** Calls wanted per window with a quarter of headroom, at most the limit. */
    int wantedCalls(int limitCalls, long nowNanos) {
        long demand = longWindow.count(nowNanos);
        long recent = shortWindow.count(nowNanos);
        if (recent >= SHORT_MINIMUM) {
            demand = Math.max(demand, recent * SHORT_PARTS);
        }
        if (demand == 0) {
            return 0;
        }
        return (int) Math.min(limitCalls, demand + demand / 4 + 1);
    }
}
