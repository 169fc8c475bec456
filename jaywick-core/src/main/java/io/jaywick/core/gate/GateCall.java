package io.jaywick.core.gate;

import io.jaywick.core.capacity.CapacityEstimator;

/** A call that requests a slot of the target. */
public abstract class GateCall {

    final CallUrgency urgency;
    final boolean trial;
    final boolean hedge;
    final boolean fromOtherRegion;
    State state = State.NEW;
    long startedNanos;
    /** Null while the call does not run, or when the capacity of the target is not learned. */
    CapacityEstimator.RunningCall capacityCall;

    enum State {
        NEW,
        WAITING,
        RUNNING,
        ENDED
    }

    /**
     * Creates a call that has not been submitted yet.
     *
     * @param trial whether this is a trial attempt, which is refused when it would probably miss its objective
     * @param hedge whether another target already has the call and may still answer it
     * @param fromOtherRegion whether the call comes from another region
     */
    protected GateCall(CallUrgency urgency, boolean trial, boolean hedge, boolean fromOtherRegion) {
        this.urgency = urgency;
        this.trial = trial;
        this.hedge = hedge;
        this.fromOtherRegion = fromOtherRegion;
    }

    /** Called when the call is granted a slot, which it holds until {@link TargetGate#release}. */
    protected abstract void onAdmitted();

    /** Called when the call is removed from the queue without having been granted a slot. */
    protected abstract void onRefused(GateRefusal reason);
}
