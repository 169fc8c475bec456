package io.jaywick.core.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToLongFunction;
import java.util.random.RandomGenerator;

/**
 * Roles that follow from one node's view of the living members. Views may differ between nodes: two relays or readers
 * too many cost bytes, one too few is made up for by the digests to random peers.
 */
public final class Roles {

    /** Members of an order that check those above them every second, so that a dead holder of a role is replaced. */
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

    /** Computes the roles of the moment in time proportional to the number of members. */
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

    /** Members of the own data centre that receive this node's announcements. */
    public List<Peer> neighbours() {
        return neighbours;
    }

    /** The first two relays of each data centre, without this node. */
    public Map<String, List<Peer>> relaysByDataCentre() {
        return relaysByDataCentre;
    }

    /** The first two relays of each region, without this node. */
    public Map<String, List<Peer>> relaysByRegion() {
        return relaysByRegion;
    }

    /** A random suspect of each region, so that a region that was cut off is found again. */
    public Map<String, Peer> suspectsByRegion() {
        return suspectsByRegion;
    }

    /** A random suspect of each data centre of the own region. */
    public Map<String, Peer> suspectsByDataCentre() {
        return suspectsByDataCentre;
    }

    /** Candidates for reader of the own region that rank above this node. */
    public List<Peer> higherRankedReaders() {
        return higherRankedReaders;
    }

    /** Candidates for relay of the own data centre that rank above this node. */
    public List<Peer> higherRankedRelays() {
        return higherRankedRelays;
    }

    /** Rank of this node among the relays of its data centre, from 0. */
    public int relayRank() {
        return relayRank;
    }

    /** Rank of this node among the relays of its region, from 0. */
    public int regionRelayRank() {
        return regionRelayRank;
    }

    /** Rank of this node among the readers of its region, from 0. */
    public int readerRank() {
        return readerRank;
    }

    public int aliveCountInRegion() {
        return aliveCountInRegion;
    }

    public int aliveCountInDataCentre() {
        return aliveCountInDataCentre;
    }

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
