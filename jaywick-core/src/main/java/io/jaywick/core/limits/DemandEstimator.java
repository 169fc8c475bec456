package io.jaywick.core.limits;

import java.util.concurrent.TimeUnit;

/**
 * Estimates the calls per window that callers of one node ask for, admitted or not. The short meter follows a rise
 * within an eighth of the window; the long meter keeps quota for a whole window after a fall, so that callers with
 * gaps between bursts keep it.
 */
final class DemandEstimator {

    private static final int LONG_BUCKETS = 16;
    private static final int SHORT_BUCKETS = 4;
    private static final int SHORT_WINDOW_DIVISOR = 8;

    /** Fewer calls than this in the short window say little about the rate. */
    private static final long SHORT_WINDOW_MIN_CALLS = 32;

    /**
     * From this many calls in a window on, an eighth of it with less than half the rate means that demand has fallen:
     * of 32 expected random arrivals, fewer than 16 come once in a thousand times.
     */
    private static final long FALL_DETECTION_MIN_CALLS = 256;

    private final WindowCounter longWindow;
    private final WindowCounter shortWindow;
    private boolean hasFallen;

    DemandEstimator(long windowMillis) {
        long windowNanos = TimeUnit.MILLISECONDS.toNanos(windowMillis);
        longWindow = new WindowCounter(windowNanos, LONG_BUCKETS);
        shortWindow = new WindowCounter(windowNanos / SHORT_WINDOW_DIVISOR, SHORT_BUCKETS);
    }

    void recordCall(long nowNanos) {
        longWindow.add(nowNanos);
        shortWindow.add(nowNanos);
    }

    void resize(long windowMillis, long nowNanos) {
        long windowNanos = TimeUnit.MILLISECONDS.toNanos(windowMillis);
        longWindow.resize(windowNanos, nowNanos);
        shortWindow.resize(windowNanos / SHORT_WINDOW_DIVISOR, nowNanos);
    }

    /** Calls per window to keep quota for, with a quarter of headroom, at most the limit. */
    int retainedCalls(int limitCalls, long nowNanos) {
        long demand = longWindow.count(nowNanos);
        return withHeadroom(Math.max(demand, recentCalls(nowNanos)), limitCalls);
    }

    /** Calls per window wanted now, with a quarter of headroom; falls below the kept calls when demand falls. */
    int wantedCalls(int limitCalls, long nowNanos) {
        long demand = longWindow.count(nowNanos);
        long recent = recentCalls(nowNanos);
        hasFallen = recent < demand / 2 && (hasFallen || demand >= FALL_DETECTION_MIN_CALLS);
        return withHeadroom(hasFallen ? recent : Math.max(demand, recent), limitCalls);
    }

    private long recentCalls(long nowNanos) {
        long recent = shortWindow.count(nowNanos);
        return recent >= SHORT_WINDOW_MIN_CALLS ? recent * SHORT_WINDOW_DIVISOR : 0;
    }

    private static int withHeadroom(long demand, int limitCalls) {
        return demand == 0 ? 0 : (int) Math.min(limitCalls, demand + demand / 4 + 1);
    }
}
