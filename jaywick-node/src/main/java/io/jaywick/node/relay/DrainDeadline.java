package io.jaywick.node.relay;

/**
 * Time by which a draining node must have completed its calls; it caps the deadline of every call. It has no effect
 * until it is set at the start of the drain. Used on the event loop only.
 */
final class DrainDeadline {

    private static final long NANOS_PER_MILLI = 1_000_000;

    private boolean set;
    private long endNanos;

    /** Sets the monotonic time that caps the deadlines of all calls from now on. */
    void set(long newEndNanos) {
        set = true;
        endNanos = newEndNanos;
    }

    boolean isSet() {
        return set;
    }

    /** Monotonic time of this deadline; valid only when set. */
    long endNanos() {
        return endNanos;
    }

    /** Returns the earlier of the given deadline and this one, or the given one when this one is not set. */
    long cap(long deadlineNanos) {
        return isBefore(deadlineNanos) ? endNanos : deadlineNanos;
    }

    /** Whether this deadline is set and ends before the given one. */
    boolean isBefore(long deadlineNanos) {
        return set && endNanos - deadlineNanos < 0;
    }

    /** Milliseconds until this deadline, or {@code Long.MAX_VALUE} when it is not set. */
    long remainingMillis(long nowNanos) {
        return set ? (endNanos - nowNanos) / NANOS_PER_MILLI : Long.MAX_VALUE;
    }
}
