package io.jaywick.node.relay;

/** A call in flight. */
@FunctionalInterface
interface PendingCall {

    /**
     * Cancels the call as soon as possible and drops its result, because its caller has disconnected or no longer needs
     * it.
     */
    void cancel();
}
