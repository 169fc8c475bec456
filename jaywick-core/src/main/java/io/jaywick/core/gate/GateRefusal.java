package io.jaywick.core.gate;

import java.util.Locale;

/** Reason why a call was refused before any byte of it was sent to the target. */
public enum GateRefusal {
    /**
     * A trial attempt would miss its latency objective, or the target has no spare capacity for a hedge or for a trial
     * attempt from another region.
     */
    BUSY,
    /** On arrival the call is expected to miss its deadline, or the queue is full. */
    OVERLOADED,
    /** The target is cold and has received as many calls in the last second as it may. */
    COLD,
    /** The target has received as many calls recently as the limit allows that it names. */
    RATE_LIMITED,
    /**
     * The target is draining, has stated that it leaves or is no longer listed, its data centre is evacuated, or the node
     * is draining.
     */
    LEAVING,
    /** The node next to the target cannot reach it. */
    TARGET_DOWN,
    /** The instance that the caller chose is not known as the target of this node. */
    UNKNOWN_INSTANCE,
    /** The request was in flight at several crashes of targets and would probably crash this one. */
    SUSPECT,
    /** The call is a repeated one, and the retry budgets do not cover the calls that its execution makes. */
    RETRY_BUDGET,
    /** Calls that such executions make have recently found no capacity at the service called. */
    NESTED_CAPACITY,
    /** The deadline has passed, or the queued call can no longer meet it. */
    DEADLINE;

    /** Returns the name used in logs, metrics and messages. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
