package io.jaywick.core.gate;

/**
 * How long a connection to the target may have been idle when a call is sent over it. A target may forget idle
 * connections without notice and reset the next call, which an unsafe call does not survive. The limit is learned from
 * such losses and forgotten when none has been seen for a while. Not thread-safe.
 */
public final class IdleTimeoutEstimator {

    /** A call that is reset later than this was at work; the loss says nothing of the idle time. */
    private static final double MAX_RESET_DELAY_MILLIS = 20;

    /** Shorter idle times are no reason for a loss, but a target that ends. */
    private static final double MIN_IDLE_MILLIS = 100;

    /** The target forgot the connection at some moment before the loss was seen. */
    private static final double SAFETY_FACTOR = 0.5;

    /** Trouble of targets that were observed ended within ten seconds; an idle connection is then worth keeping. */
    private static final double MAX_ESTIMATE_AGE_MILLIS = 10_000;

    private static final double NANOS_PER_MILLI = 1_000_000;

    private boolean hasEstimate;
    private double estimateMillis;
    private long lastResetNanos;

    /**
     * Notes that a call was reset before any byte of its answer.
     *
     * @param idleMillis time for which the connection had been idle when the call was sent
     * @param elapsedMillis time from the sending to the reset
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

    /** Whether a connection that has been idle for the given time may carry a call. */
    public boolean allowsReuse(double idleMillis, long nowNanos) {
        return !hasCurrentEstimate(nowNanos) || idleMillis < estimateMillis;
    }

    private boolean hasCurrentEstimate(long nowNanos) {
        return hasEstimate && (nowNanos - lastResetNanos) / NANOS_PER_MILLI < MAX_ESTIMATE_AGE_MILLIS;
    }
}
