package io.jaywick.core.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToLongFunction;
import java.util.random.RandomGenerator;

/**
 * Roles derived from one node's view of the alive members. Views may differ between nodes: two surplus relays or
 * readers cost only bytes, and the digests to random peers compensate for a missing one.
 */
public final class Roles {

    /**
     * Maximum number of higher-ranked members that a node checks, so that a dead holder of a role is replaced. A node
     * of at most this rank does so every other second on average, further ones less often.
     */
    public static final int MAX_CANDIDATES = 6;

    private final List<Peer> neighbours;
    private final Map<String, List<Peer>> relaysByDataCentre = new TreeMap<>();
    private final Map<String, List<Peer>> relaysByRegion = new TreeMap<>();
    private final Map<String, Peer> suspectsByDataCentre = new TreeMap<>();
    private final Map<String, Peer> suspectsByRegion = new TreeMap<>();
    private final Map<String, Integer> suspectCountByRegion = new HashMap<>();
    private final Map<String, Integer> suspectCountByDataCentre = new HashMap<>();
    private final List<Peer> higherRankedReaders;
    private final List<Peer> higherRankedRelays;
    private int relayRank;
    private int regionRelayRank;
    private int readerRank;
    private int aliveCountInRegion = 1;
    private int aliveCountInDataCentre = 1;
    private int aliveCount = 1;

    /**
     * Computes the roles from the current state of the table, in time proportional to the number of members.
     *
     * @param neighbourCount maximum number of neighbours
     * @param random selects the random suspects
     */
    public Roles(MembershipTable table, int neighbourCount, RandomGenerator random) {
        String dataCentre = table.self().dataCentre();
        String region = table.self().region();
        long ownRelayScore = RendezvousHash.score("relay", table.self().server());
        long ownReaderScore = RendezvousHash.score("reader", table.self().server());
        neighbours = new ArrayList<>(neighbourCount);
        higherRankedReaders = new ArrayList<>(MAX_CANDIDATES);
        higherRankedRelays = new ArrayList<>(MAX_CANDIDATES);
        for (Peer peer : table.peers()) {
            MemberState state = table.state(peer);
            if (state == MemberState.SUSPECT) {
                sampleOne(suspectsByRegion, suspectCountByRegion, peer.region(), peer, random);
                if (peer.region().equals(region)) {
                    sampleOne(suspectsByDataCentre, suspectCountByDataCentre, peer.dataCentre(), peer, random);
                }
            }
            if (state != MemberState.ALIVE) {
                continue;
            }
            aliveCount++;
            insertRanked(
                    relaysByDataCentre.computeIfAbsent(peer.dataCentre(), k -> new ArrayList<>()),
                    peer,
                    Peer::relayScore,
                    2);
            insertRanked(
                    relaysByRegion.computeIfAbsent(peer.region(), k -> new ArrayList<>()), peer, Peer::relayScore, 2);
            if (peer.dataCentre().equals(dataCentre)) {
                aliveCountInDataCentre++;
                insertRanked(neighbours, peer, Peer::pairScore, neighbourCount);
                if (peer.relayScore() > ownRelayScore) {
                    relayRank++;
                    insertRanked(higherRankedRelays, peer, Peer::relayScore, MAX_CANDIDATES);
                }
            }
            if (peer.region().equals(region)) {
                aliveCountInRegion++;
                if (peer.relayScore() > ownRelayScore) {
                    regionRelayRank++;
                }
                if (peer.readerScore() > ownReaderScore) {
                    readerRank++;
                    insertRanked(higherRankedReaders, peer, Peer::readerScore, MAX_CANDIDATES);
                }
            }
        }
    }

    /** Returns the members of this data centre that receive this node's announcements. */
    public List<Peer> neighbours() {
        return neighbours;
    }

    /** Returns the first two relays of each data centre, without this node. */
    public Map<String, List<Peer>> relaysByDataCentre() {
        return relaysByDataCentre;
    }

    /** Returns the first two relays of each region, without this node. */
    public Map<String, List<Peer>> relaysByRegion() {
        return relaysByRegion;
    }

    /** Returns a random suspect of each region; checking it detects that a disconnected region is reachable again. */
    public Map<String, Peer> suspectsByRegion() {
        return suspectsByRegion;
    }

    /** Returns a random suspect of each data centre of this region. */
    public Map<String, Peer> suspectsByDataCentre() {
        return suspectsByDataCentre;
    }

    /** Returns the candidates for reader of this region that rank above this node, best first. */
    public List<Peer> higherRankedReaders() {
        return higherRankedReaders;
    }

    /** Returns the candidates for relay of this data centre that rank above this node, best first. */
    public List<Peer> higherRankedRelays() {
        return higherRankedRelays;
    }

    /** Returns the rank of this node among the relays of its data centre, from 0. */
    public int relayRank() {
        return relayRank;
    }

    /** Returns the rank of this node among the relays of its region, from 0. */
    public int regionRelayRank() {
        return regionRelayRank;
    }

    /** Returns the rank of this node among the readers of its region, from 0. */
    public int readerRank() {
        return readerRank;
    }

    /** Returns the number of alive members of this region, this node included. */
    public int aliveCountInRegion() {
        return aliveCountInRegion;
    }

    /** Returns the number of alive members of this data centre, this node included. */
    public int aliveCountInDataCentre() {
        return aliveCountInDataCentre;
    }

    /** Returns the number of alive members, this node included. */
    public int aliveCount() {
        return aliveCount;
    }

    private static void sampleOne(
            Map<String, Peer> chosen, Map<String, Integer> counts, String key, Peer peer, RandomGenerator random) {
        int count = counts.merge(key, 1, Integer::sum);
        if (random.nextInt(count) == 0) {
            chosen.put(key, peer);
        }
    }

    private static void insertRanked(List<Peer> ranked, Peer peer, ToLongFunction<Peer> score, int limit) {
        int index = ranked.size();
        while (index > 0 && score.applyAsLong(ranked.get(index - 1)) < score.applyAsLong(peer)) {
            index--;
        }
        if (index < limit) {
            if (ranked.size() == limit) {
                ranked.remove(limit - 1);
            }
            ranked.add(index, peer);
        }
    }
}
