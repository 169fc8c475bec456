package io.jaywick.core.distribution;

import java.util.ArrayDeque;
import java.util.Deque;

/** Peers that are said to hold a newer version, in the order in which to ask them. */
public final class PullPlan {

    /** Holders kept; further ones are dropped, as each of them announces again or answers a digest. */
    public static final int CAPACITY = 16;

    private static final int MAX_ATTEMPTS = 3;

    private final Deque<Holder> holders = new ArrayDeque<>(CAPACITY);

    /** Notes that a peer holds a version; only its newest announcement counts. */
    public void add(Holder holder) {
        holders.removeIf(known -> known.address.equals(holder.address) && known.revision <= holder.revision);
        if (holders.size() < CAPACITY) {
            holders.addLast(holder);
        }
    }

    /** Takes out the first of the holders of the newest version above the given one, or returns null. */
    public Holder next(long activeRevision) {
        holders.removeIf(holder -> holder.revision <= activeRevision);
        Holder best = null;
        for (Holder holder : holders) {
            if (best == null || holder.revision > best.revision) {
                best = holder;
            }
        }
        holders.remove(best);
        return best;
    }

    /** Puts a holder that did not answer behind the others; after some attempts it is dropped. */
    public void retryLater(Holder holder) {
        if (holder.attempts + 1 < MAX_ATTEMPTS) {
            add(new Holder(holder.revision, holder.hash, holder.server, holder.address, holder.attempts + 1));
        }
    }

    public boolean isEmpty() {
        return holders.isEmpty();
    }

    /** A peer with the version that it is said to hold. */
    public record Holder(long revision, String hash, String server, String address, int attempts) {

        public Holder(long revision, String hash, String server, String address) {
            this(revision, hash, server, address, 0);
        }
    }
}
