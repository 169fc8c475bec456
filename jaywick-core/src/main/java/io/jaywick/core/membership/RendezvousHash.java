package io.jaywick.core.membership;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Scores for rendezvous hashing: for each purpose every server has a score, and the servers with the highest scores
 * hold the role. Nodes with equal views pick equal servers without any agreement.
 */
public final class RendezvousHash {

    private static final Hasher64 HASHER = Hashing.komihash5_0();

    private RendezvousHash() {}

    /** Score of a server for a purpose. */
    public static long score(String purpose, String server) {
        return HASHER.hashCharsToLong(purpose + '\n' + server);
    }

    /** Score of an unordered pair of servers. */
    public static long pairScore(String one, String other) {
        return one.compareTo(other) < 0 ? score(one, other) : score(other, one);
    }

    /** Group of a server when its data centre is divided into the given number of groups. */
    public static int group(String server, int groups) {
        return (int) Long.remainderUnsigned(score("group-of", server), Math.max(1, groups));
    }
}
