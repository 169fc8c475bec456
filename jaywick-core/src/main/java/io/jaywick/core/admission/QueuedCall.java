package io.jaywick.core.admission;

import io.jaywick.core.routing.RefusalReason;

/** A call that asks for a slot of the target. */
public abstract class QueuedCall {

    final String party;
    final double agreedShare;
    final int routeImportance;
    final int partyImportance;
    final long deadlineNanos;
    boolean isQueued;

    /**
     * Describes the call.
     *
     * @param agreedSharePercent share of the capacity that the party keeps under overload
     * @param deadlineNanos monotonic moment after which the call is refused
     */
    protected QueuedCall(
            String party, int agreedSharePercent, int routeImportance, int partyImportance, long deadlineNanos) {
        this.party = party;
        this.agreedShare = agreedSharePercent / 100.0;
        this.routeImportance = routeImportance;
        this.partyImportance = partyImportance;
        this.deadlineNanos = deadlineNanos;
    }

    /** The call holds a slot until {@link AdmissionController#release}. */
    protected abstract void onAdmitted();

    /** The call was refused and holds no slot. */
    protected abstract void onRefused(RefusalReason reason);

    final boolean outranks(QueuedCall other) {
        return routeImportance != other.routeImportance
                ? routeImportance > other.routeImportance
                : partyImportance > other.partyImportance;
    }
}
