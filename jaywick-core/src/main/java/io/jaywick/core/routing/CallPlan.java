package io.jaywick.core.routing;

import java.util.Set;

import io.jaywick.core.snapshot.Party;
import io.jaywick.core.snapshot.Route;
import io.jaywick.core.snapshot.Service;
import io.jaywick.core.snapshot.Snapshot;

/**
 * What the table says about one call.
 *
 * @param service null when the call is refused before a service is chosen
 * @param homeRegions intersection of the home regions of route, service and party; empty means any, null means none
 * @param key idempotency key that fixes the target, or null when any target of the service may run the call
 * @param refusal reason for which the call must not leave the node, or null
 */
public record CallPlan(
        Snapshot snapshot,
        Route route,
        Service service,
        Party party,
        Set<String> homeRegions,
        String key,
        RefusalReason refusal) {

    static CallPlan refused(Snapshot snapshot, Route route, Party party, RefusalReason reason) {
        return new CallPlan(snapshot, route, null, party, Set.of(), null, reason);
    }

    /** Tells whether the call may be processed only in certain regions. */
    public boolean isRegionBound() {
        return homeRegions == null || !homeRegions.isEmpty();
    }

    /** Longest time that the table allows for the call. */
    public long timeoutMillis() {
        return Math.min(route.timeoutMillis(), service.timeoutMillis());
    }
}
