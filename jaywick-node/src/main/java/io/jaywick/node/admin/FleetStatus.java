package io.jaywick.node.admin;

import java.util.List;

/**
 * State of the fleet, the response to {@code GET /fleet}.
 *
 * @param revision newest revision that is active on any server
 * @param inForce number of servers on which that revision is active
 * @param known number of servers that reported recently
 * @param total number of servers in the roster
 * @param laggards servers whose last report shows another revision
 */
public record FleetStatus(long revision, int inForce, int known, int total, List<FleetLaggard> laggards) {

    /** A server on another revision, with the revision that it last reported. */
    public record FleetLaggard(String server, long revision) {}
}
