package io.jaywick.node.peer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import io.jaywick.core.membership.Peer;
import io.jaywick.core.membership.RendezvousHash;
import io.jaywick.core.membership.Roles;
import io.jaywick.core.message.DeltaReply;

/**
 * Pushes deltas without a request. Implements the rejected strategies of docs/design-distribution.md, kept for
 * comparison.
 */
final class Pusher {

    private static final int TREE_WIDTH = 8;

    private final NodeState state;
    private long previousRevision;
    private String previousHash = "";

    Pusher(NodeState state) {
        this.state = state;
    }

    /** Pushes the delta to the active version; returns false if there is none and the version must be announced. */
    boolean push(Roles roles) {
        DeltaReply delta = state.tracker.deltaFrom(previousRevision, previousHash);
        previousRevision = state.tracker.revision();
        previousHash = state.tracker.hash();
        if (delta == null) {
            return false;
        }
        List<Peer> receivers = state.config.strategy() == SpreadStrategy.FLOOD ? roles.neighbours() : children();
        for (Peer peer : receivers) {
            state.request(peer, delta, Gossiper.REPLY_TIMEOUT_MILLIS, reply -> {});
        }
        return true;
    }

    /**
     * Returns the children of this node in a tree over the live members of its data centre, whose root is the first
     * relay.
     */
    private List<Peer> children() {
        String dataCentre = state.membership.self().dataCentre();
        List<Peer> members = new ArrayList<>();
        for (Peer peer : state.membership.peers()) {
            if (peer.dataCentre().equals(dataCentre) && state.membership.isAlive(peer)) {
                members.add(peer);
            }
        }
        members.sort(Comparator.comparingLong((Peer peer) -> RendezvousHash.score("relay", peer.server()))
                .reversed());
        int ownPosition = state.roles().relayRank();
        List<Peer> children = new ArrayList<>(TREE_WIDTH);
        for (int i = 1; i <= TREE_WIDTH; i++) {
            // Positions in the tree include this node, the list does not.
            int position = ownPosition * TREE_WIDTH + i;
            if (position - 1 < members.size()) {
                children.add(members.get(position - 1));
            }
        }
        return children;
    }
}
