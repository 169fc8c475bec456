package io.jaywick.node.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;

import io.jaywick.core.distribution.PullCandidates.Candidate;
import io.jaywick.core.membership.Peer;
import io.jaywick.core.membership.Roles;
import io.jaywick.core.message.Announce;
import io.jaywick.core.message.Digest;
import io.jaywick.core.message.Message;
import io.jaywick.core.message.PeerEntry;
import io.jaywick.core.message.UpToDate;

/**
 * Announces new versions to other nodes and exchanges digests with them in each digest interval, to compare versions
 * and membership. Also probes the relays and readers whose failure would change the role of this node.
 */
final class Gossiper {

    /** Maximum number of entries about other servers in one digest. */
    static final int GOSSIP_ENTRIES = 3;

    static final long REPLY_TIMEOUT_MILLIS = 2_000;

    /** Maximum delay of a pull in favour of relays, in units of the backup delay; 2.4 s with the default settings. */
    private static final int MAX_BACKUP_DELAYS = 8;

    /**
     * One of this many digests goes to a random member of the data centre instead of a neighbour. One of this many
     * random choices of a peer prefers a suspect.
     */
    private static final int RANDOM_PEER_ONE_IN = 4;

    private final NodeState state;
    private final PullClient pullClient;
    private final SourceWatcher watcher;
    private final SuspectExchange suspects;
    private final Pusher pusher;
    private int round;

    Gossiper(NodeState state, PullClient pullClient, SourceWatcher watcher, SuspectExchange suspects) {
        this.state = state;
        this.pullClient = pullClient;
        this.watcher = watcher;
        this.suspects = suspects;
        this.pusher = new Pusher(state);
    }

    /** Runs one round: sends digests and probes relays and the servers that rank higher than this node. */
    void tick() {
        Roles roles = state.roles();
        round++;
        List<Peer> neighbours = roles.neighbours();
        if (neighbours.isEmpty() || round % RANDOM_PEER_ONE_IN == 0) {
            sendDigest(randomPeer(this::isInDataCentre));
        } else {
            sendDigest(neighbours.get(round % neighbours.size()));
        }
        if (state.random.nextInt(roles.aliveCountInDataCentre()) == 0) {
            sendDigest(randomPeer(peer -> !isInDataCentre(peer)));
        }
        probeRemoteGroups(roles);
        probeHigherRanked(roles.higherRankedRelays(), roles.relayRank());
        if (state.isInSourceRegion()) {
            probeHigherRanked(roles.higherRankedReaders(), roles.readerRank());
        }
    }

    /**
     * Propagates the version that was just adopted, with the configured strategy. The first relays also announce it to
     * other data centres and regions, and the node that read it from the source to the data centres of its region. The
     * second relays do so after the backup delay, in case the first ones have failed.
     *
     * @param fromSource true if this node read the version from the source, false if it came from a peer
     */
    void propagate(boolean fromSource) {
        if (state.config.strategy() == SpreadStrategy.NAIVE) {
            return;
        }
        Roles roles = state.roles();
        Announce announce = announce();
        if (state.config.strategy() == SpreadStrategy.ANNOUNCE || !pusher.push(roles)) {
            roles.neighbours().forEach(peer -> announceTo(peer, announce));
        }
        long backupMillis = state.config.peers().relayBackupMillis();
        if (fromSource || roles.relayRank() == 0) {
            announceToRegion(roles, announce);
        } else if (roles.relayRank() == 1) {
            state.loop.schedule(backupMillis, () -> announceToRegion(state.roles(), announce()));
        }
        if (roles.regionRelayRank() == 0) {
            announceToOtherRegions(announce, 0);
            state.loop.schedule(backupMillis, () -> announceToOtherRegions(announce(), 1));
        } else if (roles.regionRelayRank() == 1) {
            state.loop.schedule(backupMillis, () -> announceToOtherRegions(announce(), 0));
        }
    }

    /** Answers a digest with one of this node, so that a single exchange updates both nodes. */
    Message handle(Digest digest) {
        processDigest(digest);
        // A digest with the sender's entry alone is a probe; the reply carries as few entries.
        int entries = Math.min(GOSSIP_ENTRIES, Math.max(0, digest.peers().size() - 1));
        return digest(regionOf(digest.from()), entries);
    }

    /** Compares an announced version with the one of this node and replies with the latter. */
    Message handle(Announce announce) {
        state.recordMessage(announce.from());
        Peer peer = state.membership.peer(announce.from());
        if (peer != null) {
            compareVersion(announce.revision(), announce.hash(), peer);
        }
        return new UpToDate(state.tracker.revision(), state.tracker.hash(), 0, 0);
    }

    /** Sends a digest to an address whose server is not known. */
    void sendDigest(String address) {
        state.request(address, digest("", GOSSIP_ENTRIES), REPLY_TIMEOUT_MILLIS, (reply, failure) -> {
            if (reply instanceof Digest digest) {
                processDigest(digest);
            }
        });
    }

    /** Sends a digest to a peer, or to a random seed address if the peer is null. */
    void sendDigest(Peer peer) {
        if (peer == null) {
            contactSeed();
            return;
        }
        sendDigest(peer, GOSSIP_ENTRIES, () -> {});
    }

    private void sendDigest(Peer peer, int entries, Runnable onFailure) {
        String server = peer.server();
        Consumer<Message> onReply = reply -> {
            if (reply instanceof Digest digest) {
                if (!digest.from().equals(server)) {
                    // The address belongs to another server now.
                    state.membership.recordFailure(server);
                }
                processDigest(digest);
            }
        };
        state.request(peer, digest(peer.region(), entries), REPLY_TIMEOUT_MILLIS, onReply, onFailure);
    }

    /** Returns a random server accepted by the predicate, mostly one that is alive; null if it accepts none. */
    Peer randomPeer(Predicate<Peer> accepts) {
        Peer alive = null;
        Peer suspect = null;
        int aliveCount = 0;
        int suspectCount = 0;
        for (Peer peer : state.membership.peers()) {
            if (!accepts.test(peer)) {
                continue;
            }
            if (state.membership.isAlive(peer)) {
                aliveCount++;
                alive = state.random.nextInt(aliveCount) == 0 ? peer : alive;
            } else {
                suspectCount++;
                suspect = state.random.nextInt(suspectCount) == 0 ? peer : suspect;
            }
        }
        // Contacting suspects now and then detects the end of a partition and recovered servers.
        boolean trySuspect = suspect != null && (alive == null || state.random.nextInt(RANDOM_PEER_ONE_IN) == 0);
        return trySuspect ? suspect : alive;
    }

    boolean isInDataCentre(Peer peer) {
        return peer.dataCentre().equals(state.membership.self().dataCentre());
    }

    boolean isInRegion(Peer peer) {
        return peer.region().equals(state.membership.self().region());
    }

    private void contactSeed() {
        List<String> seeds = state.config.peers().seedAddresses();
        if (!seeds.isEmpty()) {
            String seed = seeds.get(state.random.nextInt(seeds.size()));
            if (!seed.equals(state.membership.self().peerAddress())) {
                sendDigest(seed);
            }
        }
    }

    private void probeRemoteGroups(Roles roles) {
        if (roles.regionRelayRank() == 0) {
            probeRemoteRelays(
                    roles.relaysByRegion(),
                    roles.suspectsByRegion(),
                    state.membership.self().region());
        }
        probeSourceRegion(roles);
        if (roles.relayRank() == 0) {
            probeRemoteRelays(
                    relaysInRegion(roles),
                    roles.suspectsByDataCentre(),
                    state.membership.self().dataCentre());
        }
    }

    /**
     * Probes a relay of the source's region. The relays with a rank below {@code readersPerRegion} read the source for
     * their region while the source's region is unreachable. The first of them probes all regions anyway; the others
     * probe the source's region here before they consider it unreachable.
     */
    private void probeSourceRegion(Roles roles) {
        boolean isStandby = !state.isInSourceRegion()
                && roles.regionRelayRank() > 0
                && roles.regionRelayRank() < state.config.source().readersPerRegion();
        List<Peer> relays = roles.relaysByRegion().get(state.config.source().region());
        if (isStandby
                && relays != null
                && state.sourceRegionAgeMillis() > state.config.source().fallbackMillis() / 3) {
            probePeer(relays.get(roles.regionRelayRank() % relays.size()), () -> {});
        }
    }

    private void probeRemoteRelays(
            Map<String, List<Peer>> relays, Map<String, Peer> suspectsByLocation, String ownLocation) {
        relays.forEach((location, peers) -> {
            if (!location.equals(ownLocation)) {
                probePeer(peers.get(0), () -> {});
            }
        });
        suspectsByLocation.forEach((location, peer) -> {
            if (!location.equals(ownLocation) && !relays.containsKey(location)) {
                probePeer(peer, () -> {});
            }
        });
    }

    /**
     * Sends a digest with the entry of this node alone. Both sides exchange their own entries, so that a relay that
     * restarted at another address becomes known at once.
     */
    private void probePeer(Peer peer, Runnable onFailure) {
        sendDigest(peer, 0, onFailure);
    }

    /**
     * Probes a server that ranks higher than this one. The first candidates do so in every second round on average; for
     * the others the probability is inversely proportional to the rank, which bounds the load on the first ones.
     */
    private void probeHigherRanked(List<Peer> higherRanked, int rank) {
        if (rank == 0 || higherRanked.isEmpty()) {
            return;
        }
        if (state.random.nextInt(Math.max(rank, Roles.MAX_CANDIDATES)) < Roles.MAX_CANDIDATES / 2) {
            probePeer(higherRanked, state.random.nextInt(higherRanked.size()), higherRanked.size());
        }
    }

    private void probePeer(List<Peer> peers, int index, int remaining) {
        if (remaining > 0) {
            probePeer(peers.get(index), () -> probePeer(peers, (index + 1) % peers.size(), remaining - 1));
        }
    }

    private void announceToRegion(Roles roles, Announce announce) {
        relaysInRegion(roles).values().forEach(relays -> relays.forEach(peer -> announceTo(peer, announce)));
    }

    private Map<String, List<Peer>> relaysInRegion(Roles roles) {
        Map<String, List<Peer>> result = new TreeMap<>(roles.relaysByDataCentre());
        String region = state.membership.self().region();
        result.values().removeIf(relays -> !relays.get(0).region().equals(region));
        return result;
    }

    private void announceToOtherRegions(Announce announce, int relayRank) {
        String ownRegion = state.membership.self().region();
        state.roles().relaysByRegion().forEach((region, relays) -> {
            if (!region.equals(ownRegion) && relayRank < relays.size()) {
                announceTo(relays.get(relayRank), announce);
            }
        });
    }

    /** Announces a version unless the peer is known to hold it or a newer one. */
    private void announceTo(Peer peer, Announce announce) {
        if (peer.knownRevision() >= announce.revision()) {
            return;
        }
        state.request(peer, announce, REPLY_TIMEOUT_MILLIS, reply -> {
            if (reply instanceof UpToDate other) {
                compareVersion(other.revision(), other.hash(), peer);
            }
        });
    }

    private void processDigest(Digest digest) {
        List<PeerEntry> entries = digest.peers();
        if (!entries.isEmpty() && entries.get(0).server().equals(digest.from())) {
            state.membership.mergeDirectEntry(entries.get(0));
            entries = new ArrayList<>(entries.subList(1, entries.size()));
        }
        state.membership.mergeGossip(entries);
        state.recordMessage(digest.from());
        suspects.merge(digest.suspects());
        Peer peer = state.membership.peer(digest.from());
        if (peer != null) {
            compareVersion(digest.revision(), digest.hash(), peer);
        }
    }

    private void compareVersion(long revision, String hash, Peer peer) {
        if (revision > 0) {
            watcher.recordPeerVersion();
        }
        peer.recordRevision(revision);
        pullClient.consider(new Candidate(revision, hash, peer.server(), peer.address()), pullDelayMillis(peer));
    }

    /**
     * Returns the delay in milliseconds before a version of the peer is pulled. From outside the data centre the first
     * relay pulls at once; the others give it time to do so, in the order of their ranks.
     */
    private long pullDelayMillis(Peer peer) {
        PeerEntry self = state.membership.self();
        if (state.tracker.active() == null || peer.dataCentre().equals(self.dataCentre())) {
            return 0;
        }
        boolean sameRegion = peer.region().equals(self.region());
        int rank = sameRegion ? state.roles().relayRank() : state.roles().regionRelayRank();
        return state.config.peers().relayBackupMillis() * Math.min(rank, MAX_BACKUP_DELAYS);
    }

    private String regionOf(String server) {
        Peer peer = state.membership.peer(server);
        return peer == null ? "" : peer.region();
    }

    private Announce announce() {
        return new Announce(state.self(), state.tracker.revision(), state.tracker.hash());
    }

    private Digest digest(String region, int entries) {
        return new Digest(
                state.self(),
                state.tracker.revision(),
                state.tracker.hash(),
                state.membership.gossipEntries(entries),
                suspects.entriesFor(region));
    }
}
