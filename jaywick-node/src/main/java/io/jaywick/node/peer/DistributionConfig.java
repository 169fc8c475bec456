package io.jaywick.node.peer;

import io.jaywick.core.message.PeerEntry;
import io.jaywick.core.settings.PeersSettings;
import io.jaywick.core.settings.SourceSettings;

/**
 * Settings of the distribution service.
 *
 * @param self identity and addresses of this node; its incarnation is the start time of the process in milliseconds
 */
public record DistributionConfig(PeerEntry self, SourceSettings source, PeersSettings peers, SpreadStrategy strategy) {

    public DistributionConfig(PeerEntry self, SourceSettings source, PeersSettings peers) {
        this(self, source, peers, SpreadStrategy.ANNOUNCE);
    }
}
