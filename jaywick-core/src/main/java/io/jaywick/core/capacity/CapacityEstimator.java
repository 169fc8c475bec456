package io.jaywick.core.capacity;

/** Learns the expected service time of each route at the local target. Not thread-safe. */
public final class CapacityEstimator {

    private static final double NANOS_PER_MILLI = 1_000_000;

    /** Shorter service times are below the resolution of the reports, and their logarithm would dominate. */
    private static final double MIN_SERVICE_MILLIS = 0.1;

    private final RouteServiceTimes serviceTimes = new RouteServiceTimes();

    /** Returns the expected service time of a route in milliseconds, at least 1, or -1 when it is unknown. */
    public long serviceMillis(String route) {
        double millis = serviceTimes.averageMillis(route);
        return millis < 0 ? -1 : Math.max(1, Math.round(millis));
    }

    /**
     * Records the end of a call that ran at the target.
     *
     * @param succeeded whether the target answered with a success
     */
    public void recordEnd(String route, long serviceNanos, boolean succeeded) {
        serviceTimes.record(route, Math.max(MIN_SERVICE_MILLIS, serviceNanos / NANOS_PER_MILLI), succeeded);
    }

    /** Discards everything, because another process has taken the place of the target. */
    public void reset() {
        serviceTimes.clear();
    }
}
