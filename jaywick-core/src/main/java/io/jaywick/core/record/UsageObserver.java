package io.jaywick.core.record;

/**
 * Is told of the calls that a node sends and of those that it dispatches to its target. The start is told before the
 * first byte leaves the node, so that a line of the usage record can claim the call before it runs.
 */
public interface UsageObserver {

    /** A call from the local caller begins. */
    void callStarted();

    /** A call from the local caller has ended, whatever its outcome. Each start is followed by exactly one end. */
    void callEnded(CallUsage usage);

    /** A call is about to be passed to the local target. */
    void dispatchStarted();

    /** A call has left the local target. */
    void dispatchEnded(DispatchUsage usage);
}
