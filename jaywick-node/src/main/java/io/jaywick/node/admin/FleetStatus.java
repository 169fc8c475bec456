package io.jaywick.node.admin;

import java.util.List;

/**
 * State of the fleet as {@code GET /fleet} shows it.
 *
 * @param revision newest revision in force on any server
 * @param inForce servers on that revision
 * @param known servers that reported lately
 * @param total servers of the roster
 * @param laggards servers that are known to be on another revision
 */
public record FleetStatus(long revision, int inForce, int known, int total, List<FleetLaggard> laggards) {

    /** A server that is behind, with the revision that it last reported. */
    public record FleetLaggard(String server, long revision) {}
}
