package io.jaywick.core.placement;

import java.util.HashMap;
import java.util.Map;

/** Load and failures of one instance as one node observes them. Not thread-safe. */
final class InstanceLoad {

    /** A load report loses half of its weight in this time, which is about the service time of a short call. */
    private static final double REPORT_HALF_LIFE_MILLIS = 200;

    /** After ten half-lives a report has a thousandth of its weight and is ignored. */
    private static final double MAX_REPORT_AGE_MILLIS = 10 * REPORT_HALF_LIFE_MILLIS;

    /** Time for which an instance is ranked last after its first failure; it doubles with each further failure. */
    private static final long INITIAL_AVOID_MILLIS = 100;

    /** Longest time for which failures rank an instance last; once recovered, it receives calls within this time. */
    private static final long MAX_AVOID_MILLIS = 1_000;

    private static final double NANOS_PER_MILLI = 1_000_000;

    private int inFlight;
    private final Map<String, Report> waitByRoute = new HashMap<>();
    private Report expected = Report.NONE;
    private long avoidUntilNanos;
    private int consecutiveFailures;
    private boolean avoided;

    /** A reported time; it loses weight with its age. */
    private record Report(double millis, long nanos) {
        static final Report NONE = new Report(0, 0);

        double weightedMillis(long nowNanos) {
            double ageMillis = (nowNanos - nanos) / NANOS_PER_MILLI;
            return ageMillis > MAX_REPORT_AGE_MILLIS ? 0 : millis * Math.pow(0.5, ageMillis / REPORT_HALF_LIFE_MILLIS);
        }
    }

    void recordAttemptStart() {
        inFlight++;
    }

    void recordAttemptEnd() {
        inFlight--;
    }

    /**
     * Records what the instance reported with an answer to a call of a route. The expected time describes the load of
     * the instance, but the wait differs from route to route.
     */
    void recordReport(String route, long expectedMillis, long waitMillis, long nowNanos) {
        expected = new Report(expectedMillis, nowNanos);
        waitByRoute.put(route, new Report(waitMillis, nowNanos));
    }

    void recordSuccess() {
        consecutiveFailures = 0;
        avoided = false;
    }

    void recordFailure(long nowNanos) {
        long millis = Math.min(MAX_AVOID_MILLIS, INITIAL_AVOID_MILLIS << Math.min(consecutiveFailures, 10));
        consecutiveFailures++;
        avoid(millis, nowNanos);
    }

    void avoid(long millis, long nowNanos) {
        avoided = true;
        avoidUntilNanos = nowNanos + (long) (millis * NANOS_PER_MILLI);
    }

    boolean isAvoided(long nowNanos) {
        return avoidedNanos(nowNanos) > 0;
    }

    /** Returns the nanoseconds for which the instance is still ranked last, 0 when it is not. */
    long avoidedNanos(long nowNanos) {
        return avoided ? Math.max(0, avoidUntilNanos - nowNanos) : 0;
    }

    /**
     * Returns the last reported wait in milliseconds until a call of the route reaches the target, reduced by the age of
     * the report.
     */
    double waitMillis(String route, long nowNanos) {
        return waitByRoute.getOrDefault(route, Report.NONE).weightedMillis(nowNanos);
    }

    /** Returns the expected milliseconds until the answer of a call sent now; each attempt in flight adds one. */
    InstanceScore score(long nowNanos) {
        return new InstanceScore(expected.weightedMillis(nowNanos), inFlight);
    }
}
