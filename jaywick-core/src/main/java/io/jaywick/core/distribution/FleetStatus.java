package io.jaywick.core.distribution;

import java.util.List;
import java.util.OptionalLong;

import io.jaywick.core.message.Laggard;

/**
 * Which version is in force on how many servers, as the heads of the data centres know it. The counts lag by a few
 * report intervals and never claim more than was reported.
 *
 * @param revision newest revision reported, 0 for none
 * @param activeServers servers that reported it
 * @param reportingServers servers that reported lately
 * @param rosterSize servers of the table's roster
 * @param laggards at most 16 servers or groups with an older version, oldest first
 * @param smallestActiveRevision smallest revision that a server may still have active; empty while a server of the
 *     roster is not heard of, because it may hold any revision
 */
public record FleetStatus(
        long revision,
        String hash,
        int activeServers,
        int reportingServers,
        int rosterSize,
        List<Laggard> laggards,
        OptionalLong smallestActiveRevision) {}
