package io.jaywick.core.gate;

/** A call that asks for a slot of the target. */
public abstract class GateCall {

    final String route;
    final int priority;
    final long objectiveNanos;
    final long deadlineNanos;
    final boolean trial;
    final boolean hedge;
    final boolean fromOtherRegion;
    State state = State.NEW;
    long startedNanos;

    enum State {
        NEW,
        WAITING,
        RUNNING,
        ENDED
    }

    /**
     * Describes the call.
     *
     * @param priority 0 is the highest
     * @param objectiveNanos monotonic moment until which an answer has its full value
     * @param deadlineNanos monotonic moment after which an answer has none
     * @param trial whether the call is refused when it would probably miss its objective
     * @param hedge whether another target may still answer the caller
     * @param fromOtherRegion whether the call comes from another region
     */
    protected GateCall(
            String route,
            int priority,
            long objectiveNanos,
            long deadlineNanos,
            boolean trial,
            boolean hedge,
            boolean fromOtherRegion) {
        this.route = route;
        this.priority = priority;
        this.objectiveNanos = objectiveNanos;
        this.deadlineNanos = deadlineNanos;
        this.trial = trial;
        this.hedge = hedge;
        this.fromOtherRegion = fromOtherRegion;
    }

    /** The call holds a slot until {@link TargetGate#release}. */
    protected abstract void onAdmitted();

    /** The call left the queue without a slot. */
    protected abstract void onRefused(GateRefusal reason);
}
