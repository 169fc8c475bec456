package io.jaywick.core.capacity;

import java.util.HashMap;
import java.util.Map;

/**
 * Moving averages of the service times of the target for each route. They change slowly, so that they describe the speed
 * of the target rather than that of its last call: work times are log-normal, with a tail of several times the mean.
 * Not thread-safe.
 */
final class RouteServiceTimes {

    /** Weight of the newest sample; an average follows about the last 20 calls. */
    private static final double WEIGHT = 0.05;

    /** Samples beyond this multiple of the average are capped; a few per cent of log-normal times are longer. */
    private static final double MAX_SAMPLE_FACTOR = 5;

    /** With fewer calls the average of a route says little. */
    private static final int MIN_CALLS = 3;

    /** Bounds the memory; a service has fewer routes. */
    private static final int MAX_ROUTES = 2_048;

    private final Map<String, Average> averageByRoute = new HashMap<>();

    /** Average service time of one route, and the average of its logarithm. */
    private static final class Average {
        private int calls;
        private double millis;
        private double logMillis;

        void record(double newestMillis) {
            calls++;
            double weight = Math.max(WEIGHT, 1.0 / calls);
            double capped = calls > MIN_CALLS ? Math.min(newestMillis, MAX_SAMPLE_FACTOR * millis) : newestMillis;
            millis += weight * (capped - millis);
            logMillis += weight * (Math.log(capped) - logMillis);
        }
    }

    /**
     * Records the end of a call. One without success counts only if it took longer than expected: a target that fails
     * fast, sheds or loses answers is not faster, and one that has become slow may answer no call in time.
     */
    void record(String route, double millis, boolean succeeded) {
        Average average = averageByRoute.get(route);
        if (average == null && succeeded && averageByRoute.size() < MAX_ROUTES) {
            average = new Average();
            averageByRoute.put(route, average);
        }
        if (average != null && (succeeded || average.calls >= MIN_CALLS && millis > average.millis)) {
            average.record(millis);
        }
    }

    /** Returns the average of a route, or -1 when it is unknown. */
    double averageMillis(String route) {
        Average average = averageByRoute.get(route);
        return average == null || average.calls < MIN_CALLS ? -1 : average.millis;
    }

    /** Returns the average of the logarithm of the service time, or NaN when it is unknown. */
    double averageLogMillis(String route) {
        Average average = averageByRoute.get(route);
        return average == null || average.calls < MIN_CALLS ? Double.NaN : average.logMillis;
    }

    void clear() {
        averageByRoute.clear();
    }
}
