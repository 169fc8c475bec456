package io.jaywick.core.gate;

/**
 * Estimates how long a connection to the target may be idle before it is no longer safe to reuse. A target may drop
 * idle connections without notice and reset the next call, and a call that must not run twice is then lost. The
 * estimate is derived from such resets and expires when none has been observed for a while. Not thread-safe.
 */
public final class IdleTimeoutEstimator {

    /** A call that is reset later than this was already being processed, so that the idle time is not the cause. */
    private static final double MAX_RESET_DELAY_MILLIS = 20;

    /** A reset after a shorter idle time is caused by a target that shuts down, not by an idle timeout. */
    private static final double MIN_IDLE_MILLIS = 100;

    /** The target dropped the connection at an unknown time before the reset was observed. */
    private static final double SAFETY_FACTOR = 0.5;

    /** Observed faults of targets ended within ten seconds; after that, idle connections are worth keeping again. */
    private static final double MAX_ESTIMATE_AGE_MILLIS = 10_000;

    private static final double NANOS_PER_MILLI = 1_000_000;

    private boolean hasEstimate;
    private double estimateMillis;
    private long lastResetNanos;

    /**
     * Records that a call was reset before any byte of its answer arrived.
     *
     * @param idleMillis time for which the connection had been idle when the call was sent
     * @param elapsedMillis time from the sending of the call to the reset
     */
    public void recordReset(double idleMillis, double elapsedMillis, long nowNanos) {
        if (idleMillis < MIN_IDLE_MILLIS || elapsedMillis > MAX_RESET_DELAY_MILLIS) {
            return;
        }
        double newEstimateMillis = Math.max(MIN_IDLE_MILLIS, SAFETY_FACTOR * idleMillis);
        estimateMillis = hasCurrentEstimate(nowNanos) ? Math.min(estimateMillis, newEstimateMillis) : newEstimateMillis;
        hasEstimate = true;
        lastResetNanos = nowNanos;
    }

    /** Returns whether a connection that has been idle for the given time may carry a call. */
    public boolean allowsReuse(double idleMillis, long nowNanos) {
        return !hasCurrentEstimate(nowNanos) || idleMillis < estimateMillis;
    }

    private boolean hasCurrentEstimate(long nowNanos) {
        return hasEstimate && (nowNanos - lastResetNanos) / NANOS_PER_MILLI < MAX_ESTIMATE_AGE_MILLIS;
    }
}
