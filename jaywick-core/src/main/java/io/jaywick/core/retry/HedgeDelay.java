package io.jaywick.core.retry;

import java.util.HashMap;
import java.util.Map;

/**
 * Determines the delay after which an idempotent call that has no answer yet is hedged at a second target. The delay
 * follows the tail latency of the route, so that few calls are hedged while the targets are healthy. Not thread-safe.
 */
public final class HedgeDelay {

    /** Quantile of the latencies that is tracked as the tail latency. */
    private static final double QUANTILE = 0.98;

    /** Scales the step by which one answer moves the tail latency; it follows a load change within tens of answers. */
    private static final double STEP = 0.1;

    /** Multiple of the tail latency; an answer that is only slightly late is usually about to arrive. */
    private static final double DELAY_FACTOR = 1.25;

    /**
     * The second target needs about half of the tail latency; with less time remaining its answer would be too late.
     */
    private static final double MIN_REMAINING_FACTOR = 0.5;

    /** Initial tail latency as a multiple of the latency of the first answer. */
    private static final double INITIAL_FACTOR = 2;

    /** Shorter latencies are within the scheduling noise of a busy processor. */
    private static final double MIN_TAIL_MILLIS = 20;

    private final Map<String, Double> tailMillisByRoute = new HashMap<>();

    /** Records the latency of an answer, measured from the sending of the call. */
    public void observe(String route, double millis) {
        Double previousMillis = tailMillisByRoute.get(route);
        double tailMillis;
        if (previousMillis == null) {
            tailMillis = INITIAL_FACTOR * millis;
        } else if (millis > previousMillis) {
            tailMillis = previousMillis * (1 + STEP * QUANTILE);
        } else {
            tailMillis = previousMillis * (1 - STEP * (1 - QUANTILE));
        }
        tailMillisByRoute.put(route, Math.max(MIN_TAIL_MILLIS, tailMillis));
    }

    /** Returns the tail latency of a route, 0 when no answer has been recorded. */
    public double tailLatencyMillis(String route) {
        return tailMillisByRoute.getOrDefault(route, 0.0);
    }

    /**
     * Returns the milliseconds after which a call is hedged, or -1 when no answer of the route has been recorded or too
     * little time would remain until the deadline.
     */
    public long delayMillis(String route, long remainingMillis) {
        Double tailMillis = tailMillisByRoute.get(route);
        if (tailMillis == null) {
            return -1;
        }
        double delayMillis = DELAY_FACTOR * tailMillis;
        return delayMillis + MIN_REMAINING_FACTOR * tailMillis > remainingMillis ? -1 : Math.round(delayMillis);
    }
}
