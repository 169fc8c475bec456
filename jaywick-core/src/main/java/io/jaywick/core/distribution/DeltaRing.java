package io.jaywick.core.distribution;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.jaywick.core.message.DeltaReply;
import io.jaywick.core.message.RowChange;

/** The deltas between the last versions that this node adopted, from which replies to peers are composed. */
public final class DeltaRing {

    /** Number of deltas kept. */
    public static final int CAPACITY = 16;

    /** Changed rows of one reply; beyond that the compressed content is smaller. */
    public static final int MAX_CHANGES = 1_000;

    private final Deque<DeltaReply> deltas = new ArrayDeque<>(CAPACITY);

    /** Adds the delta from the version held so far to the one just adopted. */
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

    /** Returns one delta from the given version to the newest, or null when the version is not in the ring. */
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
