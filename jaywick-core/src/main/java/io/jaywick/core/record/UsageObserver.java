package io.jaywick.core.record;

/**
 * Observes the calls that a node sends for its local callers and those that it dispatches to its local target. A start
 * is reported before the first byte leaves the node, so that a line of the usage record can claim the call before it
 * runs.
 */
public interface UsageObserver {

    /** Reports that a call from the local caller starts. */
    void callStarted();

    /** Reports that a call from the local caller ended, with any outcome. Each start is followed by exactly one end. */
    void callEnded(CallUsage usage);

    /** Reports that a call is about to be sent to the local target. */
    void dispatchStarted();

    /** Reports that a call to the local target ended. */
    void dispatchEnded(DispatchUsage usage);
}
