package io.jaywick.core.membership;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Rendezvous hashing: every server has a score for each purpose, and the servers with the highest scores hold the role.
 * Nodes with equal views select the same servers without coordination.
 */
public final class RendezvousHash {

    private static final Hasher64 HASHER = Hashing.komihash5_0();

    private RendezvousHash() {}

    /** Returns the score of a server for a purpose. */
    public static long score(String purpose, String server) {
        return HASHER.hashCharsToLong(purpose + '\n' + server);
    }

    /** Returns the score of an unordered pair of servers. */
    public static long pairScore(String one, String other) {
        return one.compareTo(other) < 0 ? score(one, other) : score(other, one);
    }

    /** Returns the group of a server, from 0, in a data centre with the given number of groups. */
    public static int group(String server, int groups) {
        return (int) Long.remainderUnsigned(score("group-of", server), Math.max(1, groups));
    }
}
