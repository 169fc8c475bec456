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

    /** A learned service time holds for this time without a newer report, several times that between two calls. */
    private static final double SERVICE_TIME_HOLD_MILLIS = 3_000;

    /**
     * Afterwards its difference from the other instances loses half of its weight in this time, so that an instance that
     * was reported as slow by mistake or for a while is tried again.
     */
    private static final double SERVICE_TIME_HALF_LIFE_MILLIS = 2_000;

    /** An older service time does not contribute to the typical one, which a wrong report could otherwise distort. */
    private static final double MAX_SERVICE_TIME_AGE_MILLIS = 10_000;

    /**
     * Greatest ratio between the service times of an instance and the typical one that the ranking uses. The targets of
     * a service differ by a factor of up to three; a greater difference is an error, or a fault that ends.
     */
    private static final double MAX_SERVICE_TIME_RATIO = 4;

    private static final double NANOS_PER_MILLI = 1_000_000;

    private int inFlight;
    private final Map<String, Report> waitByRoute = new HashMap<>();
    private final Map<String, Report> serviceByRoute = new HashMap<>();
    private long concurrencyLimit = -1;
    private Report expected = Report.NONE;
    private long avoidUntilNanos;
    private int consecutiveFailures;
    private boolean avoided;

    /** A reported time; it loses weight with its age. */
    private record Report(double millis, long nanos) {
        static final Report NONE = new Report(0, 0);

        double ageMillis(long nowNanos) {
            return (nowNanos - nanos) / NANOS_PER_MILLI;
        }

        double weightedMillis(long nowNanos) {
            double ageMillis = ageMillis(nowNanos);
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

    /** Records the learned capacity; -1 for a value that the instance does not know, for example after a restart. */
    void recordCapacity(String route, long serviceMillis, long limit, long nowNanos) {
        if (serviceMillis > 0) {
            serviceByRoute.put(route, new Report(serviceMillis, nowNanos));
        } else {
            serviceByRoute.remove(route);
        }
        concurrencyLimit = limit;
    }

    /** Returns the last reported service time of a route, or NaN when none is known or it is old. */
    double serviceMillis(String route, long nowNanos) {
        Report report = serviceByRoute.get(route);
        return report == null || report.ageMillis(nowNanos) > MAX_SERVICE_TIME_AGE_MILLIS ? Double.NaN : report.millis;
    }

    /**
     * Returns the service time of a route that the ranking uses: the reported one, which moves towards the typical one
     * when the report is old.
     */
    double serviceMillis(String route, double typicalMillis, long nowNanos) {
        Report report = serviceByRoute.get(route);
        if (report == null) {
            return typicalMillis;
        }
        double ratio =
                Math.min(MAX_SERVICE_TIME_RATIO, Math.max(1 / MAX_SERVICE_TIME_RATIO, report.millis / typicalMillis));
        double oldMillis = report.ageMillis(nowNanos) - SERVICE_TIME_HOLD_MILLIS;
        return typicalMillis * Math.pow(ratio, Math.pow(0.5, Math.max(0, oldMillis) / SERVICE_TIME_HALF_LIFE_MILLIS));
    }

    /** Returns the reported concurrency limit, or the given number of slots when none is known. */
    double concurrencyLimit(int slots) {
        return concurrencyLimit > 0 ? concurrencyLimit : Math.max(1, slots);
    }

    int inFlight() {
        return inFlight;
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
