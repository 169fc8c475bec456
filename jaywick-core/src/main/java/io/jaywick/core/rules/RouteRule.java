package io.jaywick.core.rules;

import java.util.List;
import java.util.Set;

/**
 * Rule for the calls of one host and path prefix.
 *
 * @param prefix begins and ends with a slash
 * @param idempotent whether a call may run more than once
 * @param timeoutMillis longest time that a caller waits for an answer
 * @param objectiveMillis latency objective: an answer within this time has its full value
 * @param priority rank of the route's calls; 0 is the highest
 * @param maxTargets greatest number of targets to which one call may be sent
 * @param homeRegions regions in which a call may be processed; empty means any
 * @param services at least one, with a positive sum of weights
 * @param isPublic whether calls need no key of a client account
 */
public record RouteRule(
        String name,
        String host,
        String prefix,
        boolean idempotent,
        long timeoutMillis,
        long objectiveMillis,
        int priority,
        int maxTargets,
        Set<String> homeRegions,
        List<ServiceWeight> services,
        boolean isPublic) {

    public RouteRule {
        homeRegions = Set.copyOf(homeRegions);
        services = List.copyOf(services);
    }
}
