package io.jaywick.node.relay;

/** A call under way at an instance. */
@FunctionalInterface
interface PendingCall {

    /** The caller has left: the call is ended as soon as possible and its result is dropped. */
    void cancel();
}
