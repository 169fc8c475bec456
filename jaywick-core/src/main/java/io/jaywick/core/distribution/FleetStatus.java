package io.jaywick.core.distribution;

import java.util.List;
import java.util.OptionalLong;

import io.jaywick.core.message.Laggard;

/**
 * Number of servers on which the newest version is active, as reported to the aggregating nodes of the data centres.
 * The counts lag by a few report intervals and never exceed what was reported.
 *
 * @param revision newest reported revision, or 0 when none was reported
 * @param hash hash of the newest reported version
 * @param activeServers number of servers that reported this version as active
 * @param reportingServers number of servers that reported recently
 * @param rosterSize number of servers in the table's roster
 * @param laggards at most 16 servers or groups on another version, smallest revision first
 * @param smallestActiveRevision smallest revision that may still be active on a server; empty while a server of the
 *     roster has not reported, because any revision may be active on it
 */
public record FleetStatus(
        long revision,
        String hash,
        int activeServers,
        int reportingServers,
        int rosterSize,
        List<Laggard> laggards,
        OptionalLong smallestActiveRevision) {}
