package io.jaywick.core.distribution;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.jaywick.core.message.DeltaReply;
import io.jaywick.core.message.RowChange;

/** Ring buffer of the deltas between recently adopted versions, from which replies to peers are composed. */
public final class DeltaRing {

    /** Maximum number of deltas in the ring. */
    public static final int CAPACITY = 16;

    /** Maximum number of changed rows in one reply; for more rows the compressed content is smaller. */
    public static final int MAX_CHANGES = 1_000;

    private final Deque<DeltaReply> deltas = new ArrayDeque<>(CAPACITY);

    /**
     * Adds the delta from the previous version to the newly adopted one. A delta with more than {@link #MAX_CHANGES}
     * rows clears the ring, because no reply may contain it.
     */
    public void add(DeltaReply delta) {
        if (delta.changes().size() > MAX_CHANGES) {
            deltas.clear();
            return;
        }
        if (deltas.size() == CAPACITY) {
            deltas.removeFirst();
        }
        deltas.addLast(delta);
    }

    /**
     * Returns one merged delta from the given version to the newest one, or null when the ring does not reach back to
     * that version or the delta has more than {@link #MAX_CHANGES} rows.
     */
    public DeltaReply deltaFrom(long revision, String hash) {
        Map<String, RowChange> merged = new LinkedHashMap<>();
        DeltaReply first = null;
        DeltaReply last = null;
        for (DeltaReply delta : deltas) {
            if (first == null
                    && delta.baseRevision() == revision
                    && delta.baseHash().equals(hash)) {
                first = delta;
            }
            if (first != null) {
                last = delta;
                for (RowChange change : delta.changes()) {
                    merged.put(change.sheet() + '\n' + change.key(), change);
                }
            }
        }
        if (first == null || merged.size() > MAX_CHANGES) {
            return null;
        }
        List<RowChange> changes = new ArrayList<>(merged.values());
        return new DeltaReply(first.baseRevision(), first.baseHash(), last.revision(), last.hash(), changes);
    }
}
