package io.jaywick.core.admission;

/** Limits a server to a linearly growing part of its slots after its data centre has returned to service. */
public final class Ramp {

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final long rampNanos;
    private boolean running;
    private long startNanos;

    public Ramp(long rampMillis) {
        this.rampNanos = rampMillis * NANOS_PER_MILLI;
    }

    public void start(long nowNanos) {
        running = rampNanos > 0;
        startNanos = nowNanos;
    }

    /** Returns the number of concurrent calls allowed at the given time, at least 1 and at most the slots. */
    public int limit(int slots, long nowNanos) {
        if (!running) {
            return slots;
        }
        long elapsed = nowNanos - startNanos;
        if (elapsed >= rampNanos) {
            running = false;
            return slots;
        }
        return (int) Math.max(1, slots * elapsed / rampNanos);
    }
}
