package io.jaywick.core.gate;

import java.util.HashMap;
import java.util.Map;

/** Moving averages of how long the target works on a call, for each route and over all. Not thread-safe. */
final class ServiceTimes {

    /** An average follows the last ten calls or so. */
    private static final double WEIGHT_OF_NEWEST = 0.1;

    /** Assumed before the first call has ended. */
    private static final double FIRST_MILLIS = 50;

    private static final double NANOS_PER_MILLI = 1_000_000;

    private final Map<String, Double> millisByRoute = new HashMap<>();
    private double overallMillis = FIRST_MILLIS;

    void observe(String route, long nanos) {
        double millis = nanos / NANOS_PER_MILLI;
        millisByRoute.merge(route, millis, (old, newest) -> old + WEIGHT_OF_NEWEST * (newest - old));
        overallMillis += WEIGHT_OF_NEWEST * (millis - overallMillis);
    }

    double overallMillis() {
        return overallMillis;
    }

    double millis(String route) {
        return millisByRoute.getOrDefault(route, overallMillis);
    }
}
