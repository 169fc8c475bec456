package io.jaywick.node.peer;

import io.jaywick.core.distribution.VersionTracker;

/**
 * Versions, source calls and membership of one node, as the node sees them.
 *
 * @param revision active revision, 0 for none
 * @param lastRejected version rejected last, null for none
 * @param sourceStatus latest revision returned by the configuration service; {@code regressed} is set while it is below
 *     the active one, for example after a restore
 * @param sourceAgeMillis time in milliseconds since the configuration service last answered this node, -1 for
 *     never
 * @param sourceCalls number of calls of this node to the configuration service
 * @param conflictCount number of times that other content was seen under the revision of the active version
 * @param aliveServers number of servers considered alive, including this one
 * @param knownServers number of known servers, including this one
 * @param isReader true if this node is an elected reader, which watches the configuration service
 * @param isRelay true if this node is one of the two relays of its data centre
 */
public record DistributionStatus(
        long revision,
        String hash,
        VersionTracker.RejectedVersion lastRejected,
        VersionTracker.SourceStatus sourceStatus,
        long sourceAgeMillis,
        long sourceCalls,
        long conflictCount,
        int aliveServers,
        int knownServers,
        boolean isReader,
        boolean isRelay) {}
