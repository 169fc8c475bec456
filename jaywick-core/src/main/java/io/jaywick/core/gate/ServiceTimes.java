package io.jaywick.core.gate;

import java.util.HashMap;
import java.util.Map;

/** Moving averages of the service time of the target, for each route and overall. Not thread-safe. */
final class ServiceTimes {

    /** Weight of the newest sample; an average follows about the last ten calls. */
    private static final double SMOOTHING_FACTOR = 0.1;

    /**
     * A sample is capped at this multiple of the average, so that one long call does not cause refusals of the
     * next ones. The average still follows a target that has become slow after a few calls.
     */
    private static final double MAX_SAMPLE_FACTOR = 3;

    /** Assumed until the first call has ended. */
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
