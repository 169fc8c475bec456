package io.jaywick.core.routing;

import java.util.Set;

import io.jaywick.core.snapshot.Party;
import io.jaywick.core.snapshot.Route;
import io.jaywick.core.snapshot.Service;
import io.jaywick.core.snapshot.Snapshot;

/**
 * Result of resolving one call against the table.
 *
 * @param service null if the call is refused before a service is chosen
 * @param homeRegions intersection of the home regions of route, service and party; empty means any, null means none
 * @param key idempotency key that determines the target, or null if any target of the service may run the call
 * @param refusal reason to refuse the call at this node, or null if it may be sent
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

    /** Returns whether the call may be processed in certain regions only. */
    public boolean isRegionBound() {
        return homeRegions == null || !homeRegions.isEmpty();
    }

    /** Returns the maximum duration of the call according to the table. */
    public long timeoutMillis() {
        return Math.min(route.timeoutMillis(), service.timeoutMillis());
    }
}
