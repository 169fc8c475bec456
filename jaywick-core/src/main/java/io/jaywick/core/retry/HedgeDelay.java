package io.jaywick.core.retry;

import java.util.HashMap;
import java.util.Map;

/**
 * When a second target is asked for the answer of an idempotent call that is late. The delay follows the time within
 * which nearly all answers of the route arrive, so that few calls are hedged while the targets are well. Not thread-safe.
 */
public final class HedgeDelay {

    /** Part of the answers that arrive within the tracked time. */
    private static final double QUANTILE = 0.98;

    /** Part of the tracked time by which one answer moves it; it follows a change of load within tens of answers. */
    private static final double STEP = 0.1;

    /** An answer that is a little late is mostly on its way. */
    private static final double DELAY_FACTOR = 1.25;

    /** The second target needs about half of the tracked time; with less left the hedge would come too late. */
    private static final double MIN_REMAINING_FACTOR = 0.5;

    /** First estimate in multiples of the first answer. */
    private static final double INITIAL_FACTOR = 2;

    /** Shorter times are within the noise of a busy processor. */
    private static final double MIN_TAIL_MILLIS = 20;

    private final Map<String, Double> tailMillisByRoute = new HashMap<>();

    /** Notes how long a target took to answer, from the sending of the call. */
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

    /** Returns the time within which nearly all answers of the route arrive, 0 when none has been seen. */
    public double tailLatencyMillis(String route) {
        return tailMillisByRoute.getOrDefault(route, 0.0);
    }

    /**
     * Returns the milliseconds after which a second target is asked, or -1 when no answer of the route has been seen or
     * too little time would be left.
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
