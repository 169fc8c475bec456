package io.jaywick.core.distribution;

import java.util.ArrayDeque;
import java.util.Deque;

/** Peers that are said to hold a newer version, in the order in which to ask them. */
public final class PullCandidates {

    /** Holders kept; further ones are dropped, as each of them announces again or answers a digest. */
    public static final int CAPACITY = 16;

    private static final int MAX_ATTEMPTS = 3;

    private final Deque<Candidate> candidates = new ArrayDeque<>(CAPACITY);

    /** Notes that a peer holds a version; only its newest announcement counts. */
    public void add(Candidate candidate) {
        candidates.removeIf(known -> known.address.equals(candidate.address) && known.revision <= candidate.revision);
        if (candidates.size() < CAPACITY) {
            candidates.addLast(candidate);
        }
    }

    /** Takes out the first of the holders of the newest version above the given one, or returns null. */
    public Candidate pollNewest(long activeRevision) {
        candidates.removeIf(candidate -> candidate.revision <= activeRevision);
        Candidate best = null;
        for (Candidate candidate : candidates) {
            if (best == null || candidate.revision > best.revision) {
                best = candidate;
            }
        }
        candidates.remove(best);
        return best;
    }

    /** Puts a holder that did not answer behind the others; after some attempts it is dropped. */
    public void retryLater(Candidate candidate) {
        if (candidate.attempts + 1 < MAX_ATTEMPTS) {
            add(new Candidate(
                    candidate.revision, candidate.hash, candidate.server, candidate.address, candidate.attempts + 1));
        }
    }

    public boolean isEmpty() {
        return candidates.isEmpty();
    }

    /** A peer with the version that it is said to hold. */
    public record Candidate(long revision, String hash, String server, String address, int attempts) {

        public Candidate(long revision, String hash, String server, String address) {
            this(revision, hash, server, address, 0);
        }
    }
}
