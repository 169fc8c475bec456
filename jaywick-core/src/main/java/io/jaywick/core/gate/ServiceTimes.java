package io.jaywick.core.gate;

import java.util.HashMap;
import java.util.Map;

/** Moving averages of how long the target works on a call, for each route and over all. Not thread-safe. */
final class ServiceTimes {

    /** An average follows the last ten calls or so. */
    private static final double SMOOTHING_FACTOR = 0.1;

    /**
     * A single call counts at most this many times the average, so that one long call does not send the next ones away;
     * a target that turned slow is followed after a few calls all the same.
     */
    private static final double MAX_SAMPLE_FACTOR = 3;

    /** Assumed before the first call has ended. */
    private static final double INITIAL_MILLIS = 50;

    private static final double NANOS_PER_MILLI = 1_000_000;

    private final Map<String, Double> averageMillisByRoute = new HashMap<>();
    private double overallAverageMillis = INITIAL_MILLIS;

    void record(String route, long nanos) {
        double newestMillis = nanos / NANOS_PER_MILLI;
        averageMillisByRoute.merge(route, newestMillis, ServiceTimes::updatedAverage);
        overallAverageMillis = updatedAverage(overallAverageMillis, newestMillis);
    }

    private static double updatedAverage(double average, double newestMillis) {
        return average + SMOOTHING_FACTOR * (Math.min(newestMillis, MAX_SAMPLE_FACTOR * average) - average);
    }

    double overallAverageMillis() {
        return overallAverageMillis;
    }

    double averageMillis(String route) {
        return averageMillisByRoute.getOrDefault(route, overallAverageMillis);
    }
}
