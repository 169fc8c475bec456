package io.jaywick.core.limits;

/** Average rate of events, in which older events count exponentially less. Not thread-safe. */
final class DecayingRate {

    private static final double NANOS_PER_SECOND = 1e9;

    private final double meanSeconds;
    private double weight;
    private long updatedNanos;

    DecayingRate(double meanSeconds, long nowNanos) {
        this.meanSeconds = meanSeconds;
        this.updatedNanos = nowNanos;
    }

    void add(double events, long nowNanos) {
        decay(nowNanos);
        weight += events;
    }

    double perSecond(long nowNanos) {
        decay(nowNanos);
        return weight / meanSeconds;
    }

    private void decay(long nowNanos) {
        weight *= Math.exp(-(nowNanos - updatedNanos) / NANOS_PER_SECOND / meanSeconds);
        updatedNanos = nowNanos;
    }
}
