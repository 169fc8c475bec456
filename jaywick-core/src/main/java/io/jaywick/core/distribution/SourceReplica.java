package io.jaywick.core.distribution;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.jaywick.core.message.SourceEntry;
import io.jaywick.core.message.SourceQuery;
import io.jaywick.core.message.SourceState;

/**
 * Replica of the source on one node: each entry with the revision of its last change, the latest removals, and former
 * values of large entries, so that a peer that is slightly behind receives only deltas. The revision never regresses.
 * Not thread-safe.
 */
public final class SourceReplica {

    /** Smaller values are sent in full. */
    private static final int MIN_DELTA_VALUE_BYTES = 512;

    /** Maximum number of former values per key; a follower is at most a few changes behind. */
    private static final int MAX_FORMER_VALUES = 4;

    /** Maximum number of recorded removals; a peer that missed more receives the list of all keys. */
    private static final int MAX_REMOVALS = 512;

    private final Map<String, SourceEntry> entries = new HashMap<>();
    private final Map<String, ArrayDeque<SourceEntry>> formerValues = new HashMap<>();
    private final Map<String, Long> removals = new LinkedHashMap<>();
    private final Map<DeltaKey, byte[]> encodedDeltas = new HashMap<>();
    private long revision = -1;

    /** {@link #removals} contains all removals after this revision. */
    private long removalsCompleteAfter = -1;

    /** Key of an encoded delta between two values of an entry; cached because many followers need the same delta. */
    private record DeltaKey(String key, long fromRevision, long toRevision) {}

    /** Returns the revision up to which this node holds the source, or -1 before the first read. */
    public long revision() {
        return revision;
    }

    /** Records the revision up to which the entries are complete; an older revision is ignored. */
    public void advanceTo(long newRevision) {
        if (revision < 0) {
            removalsCompleteAfter = newRevision;
        }
        revision = Math.max(revision, newRevision);
    }

    /** Returns a copy of the keys of all entries. */
    public Set<String> keys() {
        return Set.copyOf(entries.keySet());
    }

    /**
     * Stores an entry. Returns false and changes nothing when the stored entry has the same or a newer revision. The
     * same holds when the key has no entry although the replica is complete up to the given revision: the entry was
     * removed since, and the update is late.
     */
    public boolean put(String key, long entryRevision, byte[] value) {
        SourceEntry current = entries.get(key);
        long knownRevision = current == null ? revision : current.revision();
        if (knownRevision >= entryRevision) {
            return false;
        }
        if (current != null && current.value().length >= MIN_DELTA_VALUE_BYTES) {
            ArrayDeque<SourceEntry> recentValues = formerValues.computeIfAbsent(key, entryKey -> new ArrayDeque<>());
            recentValues.addFirst(current);
            if (recentValues.size() > MAX_FORMER_VALUES) {
                recentValues.removeLast();
            }
            encodedDeltas.clear();
        }
        removals.remove(key);
        entries.put(key, new SourceEntry(key, entryRevision, value, false, false, 0));
        return true;
    }

    /** Applies a removal or an entry with a full value. Returns whether it changed anything. */
    public boolean applyEntry(SourceEntry entry) {
        return entry.removed()
                ? remove(entry.key(), entry.revision())
                : put(entry.key(), entry.revision(), entry.value());
    }

    /** Returns the entry that represents the removal of a key at a revision. */
    public static SourceEntry removalEntry(String key, long revision) {
        return new SourceEntry(key, revision, new byte[0], true, false, 0);
    }

    /**
     * Records the removal of a key at a revision and drops its entry. Ignored when the entry has a newer revision.
     * Returns whether an entry was dropped.
     */
    public boolean remove(String key, long removalRevision) {
        SourceEntry current = entries.get(key);
        if (current != null && current.revision() > removalRevision) {
            return false;
        }
        entries.remove(key);
        formerValues.remove(key);
        removals.merge(key, removalRevision, Math::max);
        Iterator<Map.Entry<String, Long>> oldest = removals.entrySet().iterator();
        while (removals.size() > MAX_REMOVALS) {
            removalsCompleteAfter =
                    Math.max(removalsCompleteAfter, oldest.next().getValue());
            oldest.remove();
        }
        return current != null;
    }

    /**
     * Returns the changes after the query's revision, or null when there are none. Deltas, and removals in place of the
     * list of all keys, are sent only in reply to a query with a wait.
     *
     * @param graceMillis how long entries that vanished may still reappear after an outage of the source, in
     *     milliseconds
     */
    public SourceState changesSince(SourceQuery query, long graceMillis) {
        if (revision <= query.revision()) {
            return null;
        }
        boolean sendRemovals = query.waitMillis() > 0 && query.revision() >= removalsCompleteAfter;
        boolean sendDeltas = query.waitMillis() > 0 && !query.whole();
        List<SourceEntry> changed = new ArrayList<>();
        for (SourceEntry entry : entries.values()) {
            if (entry.revision() > query.revision()) {
                changed.add(sendDeltas ? withDelta(entry, query.revision()) : entry);
            }
        }
        if (sendRemovals) {
            removals.forEach((key, removalRevision) -> {
                if (removalRevision > query.revision()) {
                    changed.add(removalEntry(key, removalRevision));
                }
            });
        }
        return new SourceState(
                revision, changed, sendRemovals ? List.of() : List.copyOf(entries.keySet()), graceMillis);
    }

    private SourceEntry withDelta(SourceEntry entry, long heldRevision) {
        if (entry.value().length < MIN_DELTA_VALUE_BYTES) {
            return entry;
        }
        SourceEntry base = formerValueAt(entry.key(), heldRevision);
        long baseRevision = base == null ? 0 : base.revision();
        byte[] delta = encodedDeltas.computeIfAbsent(
                new DeltaKey(entry.key(), baseRevision, entry.revision()),
                deltaKey -> ValueDelta.encode(base == null ? new byte[0] : base.value(), entry.value()));
        return new SourceEntry(entry.key(), entry.revision(), delta, false, true, baseRevision);
    }

    private SourceEntry formerValueAt(String key, long heldRevision) {
        for (SourceEntry value : formerValues.getOrDefault(key, new ArrayDeque<>())) {
            if (value.revision() <= heldRevision) {
                return value;
            }
        }
        return null;
    }

    /**
     * Applies the state that a peer sent and returns the resulting changes, removals included, with full values.
     *
     * @throws IllegalArgumentException when a delta does not apply to the value held by this node; nothing is changed
     */
    public List<SourceEntry> applyState(SourceState state) {
        List<SourceEntry> entriesWithFullValue = new ArrayList<>();
        for (SourceEntry entry : state.changed()) {
            entriesWithFullValue.add(entry.packed() ? withFullValue(entry) : entry);
        }
        Set<String> missingKeys = new HashSet<>();
        if (!state.keys().isEmpty()) {
            missingKeys.addAll(entries.keySet());
            missingKeys.removeAll(Set.copyOf(state.keys()));
        }
        List<SourceEntry> changes = new ArrayList<>();
        for (SourceEntry entry : entriesWithFullValue) {
            if (applyEntry(entry)) {
                changes.add(entry);
            }
        }
        for (String key : missingKeys) {
            if (remove(key, state.revision())) {
                changes.add(removalEntry(key, state.revision()));
            }
        }
        if (!state.keys().isEmpty()) {
            // The list of keys does not say when each missing key was removed, so earlier removals are incomplete.
            removalsCompleteAfter = Math.max(removalsCompleteAfter, state.revision());
        }
        advanceTo(state.revision());
        return changes;
    }

    private SourceEntry withFullValue(SourceEntry entry) {
        byte[] base = new byte[0];
        if (entry.baseRevision() > 0) {
            SourceEntry held = entries.get(entry.key());
            if (held == null || held.revision() != entry.baseRevision()) {
                throw new IllegalArgumentException(
                        "delta of " + entry.key() + " needs the value at revision " + entry.baseRevision());
            }
            base = held.value();
        }
        byte[] value = ValueDelta.apply(base, entry.value());
        return new SourceEntry(entry.key(), entry.revision(), value, false, false, 0);
    }
}
