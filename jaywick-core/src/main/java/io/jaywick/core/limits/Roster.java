package io.jaywick.core.limits;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Server names of one table revision, and their ranking as holders of a party's base allocations. The ranking uses
 * rendezvous hashing, so that a change of the roster moves only the allocations of the servers that are added or
 * removed.
 */
public final class Roster {

    private static final Hasher64 HASHER = Hashing.komihash5_0();

    private final List<String> servers;
    private final long[] serverHashes;
    private final long hash;

    public Roster(Collection<String> servers) {
        this.servers = servers.stream().sorted().toList();
        this.serverHashes = new long[this.servers.size()];
        for (int i = 0; i < serverHashes.length; i++) {
            serverHashes[i] = HASHER.hashCharsToLong(this.servers.get(i));
        }
        long value = HASHER.hashBytesToLong(String.join("\n", this.servers).getBytes(StandardCharsets.UTF_8));
        // Zero in a QuotaGrant means that the roster is not confirmed.
        this.hash = value == 0 ? 1 : value;
    }

    public List<String> servers() {
        return servers;
    }

    /** Returns the hash of all names, never zero. */
    public long hash() {
        return hash;
    }

    /** Returns the servers that hold the party's base allocations, the highest score first. */
    public List<String> holders(String party, int holdersPerParty) {
        long partyHash = HASHER.hashCharsToLong(party);
        PriorityQueue<Ranked> lowestFirst = new PriorityQueue<>(Comparator.reverseOrder());
        for (int i = 0; i < serverHashes.length; i++) {
            lowestFirst.add(new Ranked(HASHER.hashLongLongToLong(partyHash, serverHashes[i]), servers.get(i)));
            if (lowestFirst.size() > holdersPerParty) {
                lowestFirst.poll();
            }
        }
        List<Ranked> ranked = new ArrayList<>(lowestFirst);
        ranked.sort(null);
        return ranked.stream().map(Ranked::server).toList();
    }

    /**
     * Returns the base allocation of the holder at a rank, or zero if there is no such rank. The allocations of all
     * ranks add up exactly to the limit, and none falls when the limit rises.
     */
    public static int baseAllocation(int limitCalls, int rank, int holders) {
        if (rank < 0 || rank >= holders) {
            return 0;
        }
        return limitCalls / holders + (rank < limitCalls % holders ? 1 : 0);
    }

    /** Higher scores come first; equal scores are ordered by name. */
    private record Ranked(long score, String server) implements Comparable<Ranked> {

        @Override
        public int compareTo(Ranked other) {
            int byScore = Long.compareUnsigned(other.score, score);
            return byScore != 0 ? byScore : server.compareTo(other.server);
        }
    }
}
