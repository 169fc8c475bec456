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

/** Tells other nodes which version this one holds, and compares versions with them every second. */
final class Spreader {

    /** Foreign entries in one digest. */
    static final int EXCHANGED_ENTRIES = 3;

    /** Time after which a digest counts as unanswered. */
    static final long ANSWER_MILLIS = 2_000;

    /** Longest wait for a relay, in units of the backup delay; 2.4 s with the defaults. */
    private static final int MAX_BACKUPS = 8;

    /** One digest in so many goes to a random member of the data centre instead of a neighbour. */
    private static final int RANDOM_ONE_IN = 4;

    private final NodeState state;
    private final Puller puller;
    private final SourceWatcher watcher;
    private final SuspectExchange suspects;
    private final Pusher pusher;
    private int turn;

    Spreader(NodeState state, Puller puller, SourceWatcher watcher, SuspectExchange suspects) {
        this.state = state;
        this.puller = puller;
        this.watcher = watcher;
        this.suspects = suspects;
        this.pusher = new Pusher(state);
    }

    /** One round of digests and checks of those that rank above this node. */
    void tick() {
        Roles roles = state.roles();
        turn++;
        List<Peer> neighbours = roles.neighbours();
        if (neighbours.isEmpty() || turn % RANDOM_ONE_IN == 0) {
            digestTo(randomPeer(this::isInDataCentre));
        } else {
            digestTo(neighbours.get(turn % neighbours.size()));
        }
        if (state.random.nextInt(roles.aliveCountInDataCentre()) == 0) {
            digestTo(randomPeer(peer -> !isInDataCentre(peer)));
        }
        probeRelays(roles);
        checkAbove(roles.higherRankedRelays(), roles.relayRank());
        if (state.isInSourceRegion()) {
            checkAbove(roles.higherRankedReaders(), roles.readerRank());
        }
    }

    /** Tells others of the version just adopted. */
    void adopted(boolean fromSource) {
        if (state.config.strategy() == SpreadStrategy.NAIVE) {
            return;
        }
        Roles roles = state.roles();
        Announce announce = announce();
        if (state.config.strategy() == SpreadStrategy.ANNOUNCE || !pusher.push(roles)) {
            roles.neighbours().forEach(peer -> announceTo(peer, announce));
        }
        long backup = state.config.peers().relayBackupMillis();
        if (fromSource || roles.relayRank() == 0) {
            announceInRegion(roles, announce);
        } else if (roles.relayRank() == 1) {
            state.loop.after(backup, () -> announceInRegion(state.roles(), announce()));
        }
        if (roles.regionRelayRank() == 0) {
            announceAcross(announce, 0);
            state.loop.after(backup, () -> announceAcross(announce(), 1));
        } else if (roles.regionRelayRank() == 1) {
            state.loop.after(backup, () -> announceAcross(announce(), 0));
        }
    }

    /** Answers a digest with one of this node, so that a single exchange informs both. */
    Message answer(Digest digest) {
        takeDigest(digest);
        // A digest that only carries its sender is a check, and its answer is as short.
        int entries = Math.min(EXCHANGED_ENTRIES, Math.max(0, digest.peers().size() - 1));
        return digest(regionOf(digest.from()), entries);
    }

    /** Answers an announcement with the version of this node. */
    Message answer(Announce announce) {
        state.spokenTo(announce.from());
        Peer peer = state.membership.peer(announce.from());
        if (peer != null) {
            compare(announce.revision(), announce.hash(), peer);
        }
        return new UpToDate(state.tracker.revision(), state.tracker.hash());
    }

    /** Asks a peer of which only the address is known. */
    void digestTo(String address) {
        state.ask(address, digest("", EXCHANGED_ENTRIES), ANSWER_MILLIS, (reply, failure) -> {
            if (reply instanceof Digest digest) {
                takeDigest(digest);
            }
        });
    }

    void digestTo(Peer peer) {
        if (peer == null) {
            seeds();
            return;
        }
        digestTo(peer, EXCHANGED_ENTRIES, () -> {});
    }

    private void digestTo(Peer peer, int entries, Runnable onFailure) {
        String server = peer.server();
        Consumer<Message> onReply = reply -> {
            if (reply instanceof Digest digest) {
                if (!digest.from().equals(server)) {
                    // Another server took over the address.
                    state.membership.recordFailure(server);
                }
                takeDigest(digest);
            }
        };
        state.ask(peer, digest(peer.region(), entries), ANSWER_MILLIS, onReply, onFailure);
    }

    /** A random server that the predicate accepts; suspects are tried when nobody is alive. */
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
        // Suspects get a share as well, so that a healed partition or a recovered server is noticed.
        boolean trySuspect = suspect != null && (alive == null || state.random.nextInt(RANDOM_ONE_IN) == 0);
        return trySuspect ? suspect : alive;
    }

    boolean isInDataCentre(Peer peer) {
        return peer.dataCentre().equals(state.membership.self().dataCentre());
    }

    boolean isInRegion(Peer peer) {
        return peer.region().equals(state.membership.self().region());
    }

    private void seeds() {
        List<String> seeds = state.config.peers().seedAddresses();
        if (!seeds.isEmpty()) {
            String seed = seeds.get(state.random.nextInt(seeds.size()));
            if (!seed.equals(state.membership.self().peerAddress())) {
                digestTo(seed);
            }
        }
    }

    private void probeRelays(Roles roles) {
        if (roles.regionRelayRank() == 0) {
            probe(
                    roles.relaysByRegion(),
                    roles.suspectsByRegion(),
                    state.membership.self().region());
        }
        keepContact(roles);
        if (roles.relayRank() == 0) {
            probe(
                    inRegion(roles),
                    roles.suspectsByDataCentre(),
                    state.membership.self().dataCentre());
        }
    }

    /**
     * The other relays that would read the source in place of their region ask a relay of the source's region before
     * they take it for unreachable.
     */
    private void keepContact(Roles roles) {
        boolean standsBy = !state.isInSourceRegion()
                && roles.regionRelayRank() > 0
                && roles.regionRelayRank() < state.config.source().readersPerRegion();
        List<Peer> relays = roles.relaysByRegion().get(state.config.source().region());
        if (standsBy
                && relays != null
                && state.sourceRegionAgeMillis() > state.config.source().fallbackMillis() / 3) {
            check(relays.get(roles.regionRelayRank() % relays.size()), () -> {});
        }
    }

    private void probe(Map<String, List<Peer>> relays, Map<String, Peer> suspectsByPlace, String own) {
        relays.forEach((place, peers) -> {
            if (!place.equals(own)) {
                check(peers.get(0), () -> {});
            }
        });
        suspectsByPlace.forEach((place, peer) -> {
            if (!place.equals(own) && !relays.containsKey(place)) {
                check(peer, () -> {});
            }
        });
    }

    /** Sends a digest that carries only this node, so that a relay that came back elsewhere is known at once. */
    private void check(Peer peer, Runnable onFailure) {
        digestTo(peer, 0, onFailure);
    }

    /**
     * Checks whether a server that ranks above this one still lives. The first candidates do so every other second; of
     * the others each does so with a probability that falls with its rank, which bounds the load on the first ones.
     */
    private void checkAbove(List<Peer> above, int rank) {
        if (rank == 0 || above.isEmpty()) {
            return;
        }
        if (state.random.nextInt(Math.max(rank, Roles.MAX_CANDIDATES)) < Roles.MAX_CANDIDATES / 2) {
            check(above, state.random.nextInt(above.size()), above.size());
        }
    }

    private void check(List<Peer> above, int index, int left) {
        if (left > 0) {
            check(above.get(index), () -> check(above, (index + 1) % above.size(), left - 1));
        }
    }

    private void announceInRegion(Roles roles, Announce announce) {
        inRegion(roles).values().forEach(relays -> relays.forEach(peer -> announceTo(peer, announce)));
    }

    private Map<String, List<Peer>> inRegion(Roles roles) {
        Map<String, List<Peer>> result = new TreeMap<>(roles.relaysByDataCentre());
        String region = state.membership.self().region();
        result.values().removeIf(relays -> !relays.get(0).region().equals(region));
        return result;
    }

    private void announceAcross(Announce announce, int relay) {
        String own = state.membership.self().region();
        state.roles().relaysByRegion().forEach((region, relays) -> {
            if (!region.equals(own) && relay < relays.size()) {
                announceTo(relays.get(relay), announce);
            }
        });
    }

    /** Announces a version unless the peer is known to hold it. */
    private void announceTo(Peer peer, Announce announce) {
        if (peer.knownRevision() >= announce.revision()) {
            return;
        }
        state.ask(peer, announce, ANSWER_MILLIS, reply -> {
            if (reply instanceof UpToDate other) {
                compare(other.revision(), other.hash(), peer);
            }
        });
    }

    private void takeDigest(Digest digest) {
        List<PeerEntry> entries = digest.peers();
        if (!entries.isEmpty() && entries.get(0).server().equals(digest.from())) {
            state.membership.mergeDirectEntry(entries.get(0));
            entries = new ArrayList<>(entries.subList(1, entries.size()));
        }
        state.membership.mergeGossip(entries);
        state.spokenTo(digest.from());
        suspects.merge(digest.suspects());
        Peer peer = state.membership.peer(digest.from());
        if (peer != null) {
            compare(digest.revision(), digest.hash(), peer);
        }
    }

    private void compare(long revision, String hash, Peer peer) {
        if (revision > 0) {
            watcher.peerHasVersion();
        }
        peer.recordRevision(revision);
        puller.consider(new Candidate(revision, hash, peer.server(), peer.address()), delayOf(peer));
    }

    /** The first relay of a region pulls at once over a regional link; the others give it time to do so. */
    private long delayOf(Peer peer) {
        PeerEntry self = state.membership.self();
        if (state.tracker.active() == null || peer.dataCentre().equals(self.dataCentre())) {
            return 0;
        }
        boolean sameRegion = peer.region().equals(self.region());
        int rank = sameRegion ? state.roles().relayRank() : state.roles().regionRelayRank();
        return state.config.peers().relayBackupMillis() * Math.min(rank, MAX_BACKUPS);
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
