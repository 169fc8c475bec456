package io.jaywick.node.relay;

/**
 * The moment at which a node that leaves ends, as every decision about a call sees it: nothing is promised beyond it.
 * Until the node leaves it bounds nothing. Used on the event loop only.
 */
final class LeaveDeadline {

    private static final long NANOS_PER_MILLI = 1_000_000;

    private boolean leaving;
    private long endNanos;

    /** From now on no call may last longer than the given monotonic moment. */
    void set(long nanos) {
        leaving = true;
        endNanos = nanos;
    }

    boolean isSet() {
        return leaving;
    }

    /** Monotonic moment of the end; only valid when set. */
    long endNanos() {
        return endNanos;
    }

    /** Returns the earlier one of a deadline and the end of the node. */
    long cap(long deadlineNanos) {
        return leaving && endNanos - deadlineNanos < 0 ? endNanos : deadlineNanos;
    }

    /** Milliseconds until the end of the node, or the greatest number while it does not leave. */
    long remainingMillis(long nowNanos) {
        return leaving ? (endNanos - nowNanos) / NANOS_PER_MILLI : Long.MAX_VALUE;
    }
}
