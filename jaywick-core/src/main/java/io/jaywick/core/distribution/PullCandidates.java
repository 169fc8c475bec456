package io.jaywick.core.distribution;

import java.util.ArrayDeque;
import java.util.Deque;

/** Peers that reported a newer version, in the order in which to pull from them. Not thread-safe. */
public final class PullCandidates {

    /** Maximum number of candidates; further ones are dropped, as each of them announces again or answers a digest. */
    public static final int CAPACITY = 16;

    private static final int MAX_ATTEMPTS = 3;

    private final Deque<Candidate> candidates = new ArrayDeque<>(CAPACITY);

    /** Adds a candidate, which replaces those of the same peer with the same or an older revision. */
    public void add(Candidate candidate) {
        candidates.removeIf(other -> other.address.equals(candidate.address) && other.revision <= candidate.revision);
        if (candidates.size() < CAPACITY) {
            candidates.addLast(candidate);
        }
    }

    /** Removes and returns the first candidate with the newest revision above the given one, or returns null. */
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

    /** Moves a candidate that did not deliver its version behind the others; drops it after 3 attempts in total. */
    public void retryLater(Candidate candidate) {
        if (candidate.attempts + 1 < MAX_ATTEMPTS) {
            add(new Candidate(
                    candidate.revision, candidate.hash, candidate.server, candidate.address, candidate.attempts + 1));
        }
    }

    public boolean isEmpty() {
        return candidates.isEmpty();
    }

    /**
     * A peer and the version that it reported.
     *
     * @param address HOST:PORT of the peer listener
     * @param attempts failed attempts to pull from the peer
     */
    public record Candidate(long revision, String hash, String server, String address, int attempts) {

        public Candidate(long revision, String hash, String server, String address) {
            this(revision, hash, server, address, 0);
        }
    }
}
