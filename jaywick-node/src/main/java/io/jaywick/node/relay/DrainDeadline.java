package io.jaywick.node.relay;

/**
 * The moment at which a node that leaves ends, as every decision about a call sees it: nothing is promised beyond it.
 * Until the node leaves it bounds nothing. Used on the event loop only.
 */
final class DrainDeadline {

    private static final long NANOS_PER_MILLI = 1_000_000;

    private boolean set;
    private long endNanos;

    /** From now on no call may last longer than the given monotonic moment. */
    void set(long newEndNanos) {
        set = true;
        endNanos = newEndNanos;
    }

    boolean isSet() {
        return set;
    }

    /** Monotonic moment of the end; only valid when set. */
    long endNanos() {
        return endNanos;
    }

    /** Returns the earlier one of a deadline and the end of the node. */
    long cap(long deadlineNanos) {
        return set && endNanos - deadlineNanos < 0 ? endNanos : deadlineNanos;
    }

    /** Milliseconds until the end of the node, or the greatest number while it does not leave. */
    long remainingMillis(long nowNanos) {
        return set ? (endNanos - nowNanos) / NANOS_PER_MILLI : Long.MAX_VALUE;
    }
}
