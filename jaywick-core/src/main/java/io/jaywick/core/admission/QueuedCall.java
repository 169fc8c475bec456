package io.jaywick.core.admission;

import io.jaywick.core.routing.RefusalReason;

/** A call that requests a slot of the target. */
public abstract class QueuedCall {

    final String party;
    final double agreedShare;
    final int routeImportance;
    final int partyImportance;
    final long deadlineNanos;
    boolean isQueued;

    /**
     * Creates a call that has not been submitted yet.
     *
     * @param agreedSharePercent share of the capacity that the party keeps under overload
     * @param deadlineNanos monotonic time after which the call is refused
     */
    protected QueuedCall(
            String party, int agreedSharePercent, int routeImportance, int partyImportance, long deadlineNanos) {
        this.party = party;
        this.agreedShare = agreedSharePercent / 100.0;
        this.routeImportance = routeImportance;
        this.partyImportance = partyImportance;
        this.deadlineNanos = deadlineNanos;
    }

    /** Called when the call is admitted. It holds a slot until {@link AdmissionController#release}. */
    protected abstract void onAdmitted();

    /** Called when the call is refused. It holds no slot. */
    protected abstract void onRefused(RefusalReason reason);

    final boolean outranks(QueuedCall other) {
        return routeImportance != other.routeImportance
                ? routeImportance > other.routeImportance
                : partyImportance > other.partyImportance;
    }
}
