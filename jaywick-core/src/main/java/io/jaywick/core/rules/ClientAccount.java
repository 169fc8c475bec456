package io.jaywick.core.rules;

import java.util.OptionalInt;
import java.util.Set;

/**
 * A client account, on whose behalf callers send calls.
 *
 * @param priority overrides the priority of the route; 0 is the highest
 * @param homeRegions regions in which its calls may be processed; empty means any
 * @param callsPerSecond calls per second over all nodes; 0 for no limit
 * @param burstCalls calls beyond that rate that may come at once
 */
public record ClientAccount(
        String name, OptionalInt priority, Set<String> homeRegions, double callsPerSecond, double burstCalls) {

    public ClientAccount {
        homeRegions = Set.copyOf(homeRegions);
    }
}
