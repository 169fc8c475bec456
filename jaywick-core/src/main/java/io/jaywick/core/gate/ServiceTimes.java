package io.jaywick.core.gate;

import java.util.HashMap;
import java.util.Map;

/** Moving averages of how long the target works on a call, for each route and over all. Not thread-safe. */
final class ServiceTimes {

    /** An average follows the last ten calls or so. */
    private static final double WEIGHT_OF_NEWEST = 0.1;

    /**
     * A single call counts at most this many times the average, so that one long call does not send the next ones away;
     * a target that turned slow is followed after a few calls all the same.
     */
    private static final double MAX_FACTOR = 3;

    /** Assumed before the first call has ended. */
    private static final double FIRST_MILLIS = 50;

    private static final double NANOS_PER_MILLI = 1_000_000;

    private final Map<String, Double> millisByRoute = new HashMap<>();
    private double overallMillis = FIRST_MILLIS;

    void observe(String route, long nanos) {
        double millis = nanos / NANOS_PER_MILLI;
        millisByRoute.merge(route, millis, ServiceTimes::follow);
        overallMillis = follow(overallMillis, millis);
    }

    private static double follow(double average, double newest) {
        return average + WEIGHT_OF_NEWEST * (Math.min(newest, MAX_FACTOR * average) - average);
    }

    double overallMillis() {
        return overallMillis;
    }

    double millis(String route) {
        return millisByRoute.getOrDefault(route, overallMillis);
    }
}
