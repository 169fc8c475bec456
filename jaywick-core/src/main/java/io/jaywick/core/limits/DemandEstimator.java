package io.jaywick.core.limits;

import java.util.concurrent.TimeUnit;

/**
 * Estimates the demand of one node for one party, in calls per window; refused calls count as well. A short window
 * detects a rise within an eighth of the limit's window. A long window covers all of it, so that quota is retained for
 * a whole window after a fall, for callers with gaps between their bursts.
 */
final class DemandEstimator {

    private static final int LONG_BUCKETS = 16;
    private static final int SHORT_BUCKETS = 4;
    private static final int SHORT_WINDOW_DIVISOR = 8;

    /** Fewer calls than this in the short window are too few to estimate a rate. */
    private static final long SHORT_WINDOW_MIN_CALLS = 32;

    /**
     * Minimum calls in the long window for detecting a fall of demand to less than half the rate. The short window then
     * holds 32 calls on average; with random arrivals, fewer than 16 occur about once in a thousand times.
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

    /** Returns the calls per window to retain quota for: the demand plus 25% headroom, at most the limit. */
    int retainedCalls(int limitCalls, long nowNanos) {
        long demand = longWindow.count(nowNanos);
        return withHeadroom(Math.max(demand, recentCalls(nowNanos)), limitCalls);
    }

    /**
     * Returns the calls per window needed now, plus 25% headroom, at most the limit. Lower than {@link #retainedCalls}
     * when demand has fallen.
     */
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
