package io.jaywick.core.limits;

import io.jaywick.core.snapshot.Party;

/**
 * Admits calls within the limit of their party. Consulted once for each new call, at the egress node of its first hop.
 * Implementations do not block.
 */
@FunctionalInterface
public interface CallQuota {

    /**
     * Consumes one call of the party's quota. Returns false if no quota remains; the call is then refused with the
     * reason {@code party-limit}.
     */
    boolean tryAcquire(Party party);

    /**
     * Returns whether this node holds no quota of the party yet, so that a call refused now may be admitted once a
     * grant arrives.
     */
    default boolean isAwaitingGrant(Party party) {
        return false;
    }
}
