package io.jaywick.core.limits;

import io.jaywick.core.snapshot.Party;

/** Asked once for each new call, at the egress node of its first hop. Never blocks. */
@FunctionalInterface
public interface CallQuota {

    /** Takes one call from the quota of the party; false refuses the call with the reason {@code party-limit}. */
    boolean tryAcquire(Party party);

    /** Tells whether this node has no quota of the party yet, so that a grant may still come after a refusal. */
    default boolean isAwaitingGrant(Party party) {
        return false;
    }
}
