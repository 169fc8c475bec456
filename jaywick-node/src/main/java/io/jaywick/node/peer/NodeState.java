package io.jaywick.node.peer;

import java.util.concurrent.CompletionException;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import io.jaywick.core.distribution.VersionTracker;
import io.jaywick.core.membership.MembershipTable;
import io.jaywick.core.membership.Peer;
import io.jaywick.core.membership.Roles;
import io.jaywick.core.message.Message;
import io.jaywick.core.message.PeerLink;
import io.jaywick.core.snapshot.Server;
import io.jaywick.core.snapshot.Snapshot;

/** State shared by the components of the distribution service. Accessed on the {@link NodeLoop} only. */
final class NodeState {

    final DistributionConfig config;
    final NodeLoop loop;
    final RandomGenerator random;
    final MembershipTable membership;
    final VersionTracker tracker;
    private final PeerLink link;
    private Roles roles;
    private long sourceRegionContactMillis;
    private Snapshot countedSnapshot;
    private int regionRosterSize;

    NodeState(
            DistributionConfig config,
            NodeLoop loop,
            RandomGenerator random,
            MembershipTable membership,
            VersionTracker tracker,
            PeerLink link) {
        this.config = config;
        this.loop = loop;
        this.random = random;
        this.membership = membership;
        this.tracker = tracker;
        this.link = link;
        this.sourceRegionContactMillis = loop.nowMillis();
        updateRoles();
    }

    String self() {
        return membership.self().server();
    }

    Roles roles() {
        return roles;
    }

    void updateRoles() {
        roles = new Roles(membership, config.peers().neighbours(), random);
    }

    /** Sends a message to a known server and records in the membership whether it replied. */
    void request(Peer peer, Message message, long timeoutMillis, Consumer<Message> onReply) {
        request(peer, message, timeoutMillis, onReply, () -> {});
    }

    void request(Peer peer, Message message, long timeoutMillis, Consumer<Message> onReply, Runnable onFailure) {
        String server = peer.server();
        loop.await(link.request(peer.address(), message), timeoutMillis, (reply, failure) -> {
            if (failure == null) {
                recordReply(server);
                onReply.accept(reply);
            } else {
                if (isPeerFailure(failure)) {
                    membership.recordFailure(server);
                }
                onFailure.run();
            }
        });
    }

    /** Sends a message to an address; the membership does not record the result. */
    void request(String address, Message message, long timeoutMillis, BiConsumer<Message, Throwable> onResult) {
        loop.await(link.request(address, message), timeoutMillis, onResult);
    }

    /** Records that a server replied at its known address. */
    void recordReply(String server) {
        membership.recordContact(server);
        recordSourceRegionContact(server);
    }

    /**
     * Records that a server sent a message. This does not prove that its known address is still valid, so it does
     * not change the state of a suspect.
     */
    void recordMessage(String server) {
        Peer peer = membership.peer(server);
        if (peer != null && membership.isAlive(peer)) {
            membership.recordContact(server);
        }
        recordSourceRegionContact(server);
    }

    private void recordSourceRegionContact(String server) {
        Peer peer = membership.peer(server);
        if (peer != null && peer.region().equals(config.source().region())) {
            sourceRegionContactMillis = loop.nowMillis();
        }
    }

    /** Returns the milliseconds since a server of the source's region last sent a message, or since the start. */
    long sourceRegionAgeMillis() {
        return loop.nowMillis() - sourceRegionContactMillis;
    }

    boolean isInSourceRegion() {
        return membership.self().region().equals(config.source().region());
    }

    /** Estimates the number of servers in the fleet: the larger of the roster and the known membership. */
    int fleetSize() {
        Snapshot snapshot = tracker.active();
        int roster = snapshot == null ? 0 : snapshot.servers().size();
        return Math.max(roster, membership.peers().size() + 1);
    }

    /** Returns whether at least half of the region's roster is alive in this node's view, so its ranks are reliable. */
    boolean isViewTrusted() {
        Snapshot snapshot = tracker.active();
        if (snapshot == null) {
            return false;
        }
        if (countedSnapshot != snapshot) {
            countedSnapshot = snapshot;
            regionRosterSize = 0;
            for (Server server : snapshot.servers().values()) {
                if (server.dataCentre().region().equals(membership.self().region())) {
                    regionRosterSize++;
                }
            }
        }
        return regionRosterSize > 0 && roles.aliveCountInRegion() * 2 >= regionRosterSize;
    }

    /** A full queue or a refusal does not indicate that the peer has failed. */
    private static boolean isPeerFailure(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof PeerException peer) {
            return peer.kind() != PeerException.Kind.QUEUE_FULL && peer.kind() != PeerException.Kind.REFUSED;
        }
        return true;
    }
}
