package io.jaywick.node.peer;

import io.jaywick.core.distribution.VersionTracker;

/**
 * What one node knows of its versions.
 *
 * @param revision active revision, 0 for none
 * @param lastRejected version rejected last, or null
 * @param sourceStatus last answer of the configuration service; its {@code behind} is set after a restore to an older one
 * @param sourceAgeMillis time since the configuration service last answered this node, -1 for never
 * @param sourceCalls calls of this node to the configuration service
 * @param conflictCount other contents seen under an active revision
 * @param aliveServers servers believed alive, this one included
 * @param knownServers servers known, this one included
 * @param isReader true when this node holds a watch
 * @param isRelay true when this node is a relay of its data centre
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
