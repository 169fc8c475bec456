package io.jaywick.node.peer;

import io.jaywick.core.distribution.VersionTracker;

/**
 * What one node knows of its versions.
 *
 * @param revision active revision, 0 for none
 * @param rejected version rejected last, or null
 * @param source last answer of the configuration service; its {@code behind} is set after a restore to an older one
 * @param sourceAgeMillis time since the configuration service last answered this node, -1 for never
 * @param sourceCalls calls of this node to the configuration service
 * @param conflicts other contents seen under an active revision
 * @param alive servers believed alive, this one included
 * @param known servers known, this one included
 * @param reader true when this node holds a watch
 * @param relay true when this node is a relay of its data centre
 */
public record DistributionStatus(
        long revision,
        String hash,
        VersionTracker.RejectedVersion rejected,
        VersionTracker.SourceStatus source,
        long sourceAgeMillis,
        long sourceCalls,
        long conflicts,
        int alive,
        int known,
        boolean reader,
        boolean relay) {}
