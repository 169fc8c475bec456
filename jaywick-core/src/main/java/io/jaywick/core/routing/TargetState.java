package io.jaywick.core.routing;

import io.jaywick.core.snapshot.Server;

/** Observations of one node about one target: its own calls in flight, latency, avoidance and last reported load. */
final class TargetState {

    private static final double LATENCY_EWMA_WEIGHT = 0.2;
    /**
     * Half-life of the calls of other nodes in a report. They change within a few round trips, but nested calls can
     * hold slots for a second.
     */
    private static final long REPORT_HALF_LIFE_NANOS = 500_000_000L;

    final Server server;
    private int inFlight;
    private double latencyNanos;
    private int limit = -1;
    private int othersInFlight;
    private long lastReportNanos;
    private boolean avoided;
    private long avoidUntilNanos;

    TargetState(Server server) {
        this.server = server;
    }

    synchronized void recordAttemptStart() {
        inFlight++;
    }

    synchronized void recordAttemptEnd() {
        inFlight--;
    }

    synchronized void recordLatency(long nanos) {
        latencyNanos = latencyNanos == 0 ? nanos : latencyNanos + LATENCY_EWMA_WEIGHT * (nanos - latencyNanos);
    }

    synchronized void recordLoad(int totalInFlight, int reportedLimit, long nowNanos) {
        othersInFlight = Math.max(0, totalInFlight - inFlight);
        limit = reportedLimit;
        lastReportNanos = nowNanos;
    }

    synchronized void avoidUntil(long nanos) {
        avoided = true;
        avoidUntilNanos = nanos;
    }

    synchronized boolean isAvoided(long nowNanos) {
        if (avoided && nowNanos - avoidUntilNanos >= 0) {
            avoided = false;
        }
        return avoided;
    }

    /** Returns whether the target has free capacity. A target that has not reported yet counts as cold. */
    synchronized boolean hasCapacity(int coldStartCalls, long nowNanos) {
        return inFlight + estimatedOthersInFlight(nowNanos) < capacity(coldStartCalls);
    }

    /**
     * Returns the expected wait in nanoseconds; a lower score is better. The default latency applies to a target
     * without answers.
     */
    synchronized double score(int coldStartCalls, double defaultLatencyNanos, long nowNanos) {
        double latency = latencyNanos == 0 ? defaultLatencyNanos : latencyNanos;
        return (inFlight + estimatedOthersInFlight(nowNanos) + 1) * latency / capacity(coldStartCalls);
    }

    synchronized double latencyNanos() {
        return latencyNanos;
    }

    private double estimatedOthersInFlight(long nowNanos) {
        long age = nowNanos - lastReportNanos;
        if (othersInFlight == 0 || age >= 8 * REPORT_HALF_LIFE_NANOS) {
            return 0;
        }
        return othersInFlight * Math.pow(0.5, (double) age / REPORT_HALF_LIFE_NANOS);
    }

    private int capacity(int coldStartCalls) {
        return Math.max(1, limit < 0 ? coldStartCalls : limit);
    }
}
