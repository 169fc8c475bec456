package io.jaywick.core.distribution;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
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
import io.jaywick.core.message.SourceVersion;

/**
 * Replica of the source on one node: each entry with the revision of its last change, the latest removals, and former
 * values of large entries, so that a peer that is slightly behind receives only deltas. It holds one era of the source;
 * the revision never regresses within it. Not thread-safe.
 */
final class SourceReplica {

    /** Smaller values are sent in full. */
    private static final int MIN_DELTA_VALUE_BYTES = 512;

    /** Maximum number of former values per key; a follower is at most a few changes behind. */
    private static final int MAX_FORMER_VALUES = 4;

    /** Maximum number of recorded removals; a peer that missed more receives the list of all keys. */
    private static final int MAX_REMOVALS = 512;

    /** Revision of a removal that is not recorded; older than every change. */
    private static final long NO_REVISION = -1;

    private final Map<String, SourceEntry> entries = new HashMap<>();
    private final Map<String, ArrayDeque<SourceEntry>> formerValues = new HashMap<>();
    private final Map<String, Long> removals = new LinkedHashMap<>();
    private final Map<DeltaKey, byte[]> encodedDeltas = new HashMap<>();
    private long era;
    private long revision = -1;

    /** {@link #removals} contains all removals after this revision. */
    private long removalsCompleteAfter = -1;

    /** Key of an encoded delta between two values of an entry; cached because many followers need the same delta. */
    private record DeltaKey(String key, long fromEra, long fromRevision, long toRevision) {}

    /** Returns the era of the source that this node holds; 0 before the first read. */
    long era() {
        return era;
    }

    /** Returns the revision up to which this node holds the source, or -1 before the first read. */
    long revision() {
        return revision;
    }

    /** Returns the entry of a key, or its removal if the source does not list the key. */
    SourceEntry entryOrRemoval(String key) {
        SourceEntry entry = entries.get(key);
        return entry != null ? entry : removalEntry(key, era, removals.getOrDefault(key, NO_REVISION));
    }

    /** Returns the removals that are still recorded. */
    List<SourceEntry> removals() {
        List<SourceEntry> removed = new ArrayList<>();
        removals.forEach((key, removalRevision) -> removed.add(removalEntry(key, era, removalRevision)));
        return removed;
    }

    /**
     * Replaces all entries by those of a newer era. Former values are kept, because followers that still hold the
     * previous era receive deltas on them.
     *
     * @param listed all entries, and removals that belong to the newer era
     */
    void beginEra(long newEra, long newRevision, Collection<SourceEntry> listed) {
        entries.values().forEach(this::keepFormerValue);
        entries.clear();
        removals.clear();
        era = newEra;
        revision = newRevision;
        removalsCompleteAfter = newRevision;
        for (SourceEntry entry : listed) {
            if (entry.removed()) {
                removals.put(entry.key(), entry.revision());
            } else {
                entries.put(entry.key(), toEntry(entry.key(), entry.revision(), entry.value()));
            }
        }
        formerValues.keySet().retainAll(entries.keySet());
    }

    /** Records the revision up to which the entries are complete; an older revision is ignored. */
    void advanceTo(long newRevision) {
        if (revision < 0) {
            removalsCompleteAfter = newRevision;
        }
        revision = Math.max(revision, newRevision);
    }

    /** Returns a copy of the keys of all entries. */
    Set<String> keys() {
        return Set.copyOf(entries.keySet());
    }

    /**
     * Stores an entry. Returns false and changes nothing when the stored entry has the same or a newer revision. The
     * same holds when the key has no entry although the replica is complete up to the given revision: the entry was
     * removed since, and the update is late.
     */
    boolean put(String key, long entryRevision, byte[] value) {
        SourceEntry current = entries.get(key);
        long knownRevision = current == null ? revision : current.revision();
        if (knownRevision >= entryRevision) {
            return false;
        }
        if (current != null) {
            keepFormerValue(current);
        }
        removals.remove(key);
        entries.put(key, toEntry(key, entryRevision, value));
        return true;
    }

    private SourceEntry toEntry(String key, long entryRevision, byte[] value) {
        return new SourceEntry(key, entryRevision, value, false, false, 0, era, 0);
    }

    private void keepFormerValue(SourceEntry entry) {
        if (entry.value().length < MIN_DELTA_VALUE_BYTES) {
            return;
        }
        ArrayDeque<SourceEntry> recentValues =
                formerValues.computeIfAbsent(entry.key(), entryKey -> new ArrayDeque<>());
        recentValues.addFirst(entry);
        if (recentValues.size() > MAX_FORMER_VALUES) {
            recentValues.removeLast();
        }
        encodedDeltas.clear();
    }

    /** Applies a removal or an entry with a full value. Returns whether it changed anything. */
    boolean applyEntry(SourceEntry entry) {
        return entry.removed()
                ? remove(entry.key(), entry.revision())
                : put(entry.key(), entry.revision(), entry.value());
    }

    /** Returns the entry that represents the removal of a key at a revision. */
    static SourceEntry removalEntry(String key, long era, long revision) {
        return new SourceEntry(key, revision, new byte[0], true, false, 0, era, 0);
    }

    /**
     * Records the removal of a key at a revision and drops its entry. Ignored when the entry has a newer revision.
     * Returns whether an entry was dropped.
     */
    boolean remove(String key, long removalRevision) {
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
     * Returns the changes after the query's version, or null when there are none or the querying peer holds a newer era.
     * A peer that holds an older era receives all entries. Deltas are sent only in reply to a query with a wait, and
     * the list of all keys is left out only then. Removals are sent with that list as well: they show which entries
     * were removed in this era, and not lost before.
     *
     * @param graceMillis how long entries that vanished may still reappear after an outage of the source, in
     *     milliseconds
     */
    SourceState changesSince(SourceQuery query, long graceMillis) {
        // A peer that does not know eras can only compare revisions.
        long heldEra = query.version() == null ? era : query.version().era();
        if (heldEra > era || heldEra == era && revision <= query.revision()) {
            return null;
        }
        long heldRevision = heldEra == era ? query.revision() : NO_REVISION;
        boolean omitKeys = query.waitMillis() > 0 && heldRevision >= removalsCompleteAfter;
        boolean sendDeltas = query.waitMillis() > 0 && !query.whole();
        List<SourceEntry> changed = new ArrayList<>();
        for (SourceEntry entry : entries.values()) {
            if (entry.revision() > heldRevision) {
                changed.add(sendDeltas ? withDelta(entry, heldEra, query.revision()) : entry);
            }
        }
        removals.forEach((key, removalRevision) -> {
            if (removalRevision > heldRevision) {
                changed.add(removalEntry(key, era, removalRevision));
            }
        });
        List<String> keys = omitKeys ? List.of() : List.copyOf(entries.keySet());
        return new SourceState(
                revision,
                changed,
                keys,
                graceMillis,
                new SourceVersion(era, revision, revision, 0, NO_REVISION),
                List.of(),
                0);
    }

    private SourceEntry withDelta(SourceEntry entry, long heldEra, long heldRevision) {
        if (entry.value().length < MIN_DELTA_VALUE_BYTES) {
            return entry;
        }
        SourceEntry base = formerValueAt(entry.key(), heldEra, heldRevision);
        long baseEra = base == null ? 0 : base.era();
        long baseRevision = base == null ? 0 : base.revision();
        byte[] delta = encodedDeltas.computeIfAbsent(
                new DeltaKey(entry.key(), baseEra, baseRevision, entry.revision()),
                deltaKey -> ValueDelta.encode(base == null ? new byte[0] : base.value(), entry.value()));
        return new SourceEntry(entry.key(), entry.revision(), delta, false, true, baseRevision, era, baseEra);
    }

    private SourceEntry formerValueAt(String key, long heldEra, long heldRevision) {
        for (SourceEntry value : formerValues.getOrDefault(key, new ArrayDeque<>())) {
            if (value.era() < heldEra || value.era() == heldEra && value.revision() <= heldRevision) {
                return value;
            }
        }
        return null;
    }

    /**
     * Applies the state that a peer sent in the era of this replica and returns the resulting changes, removals
     * included, with full values.
     *
     * @throws IllegalArgumentException when a delta does not apply to the value held by this node; nothing is changed
     */
    List<SourceEntry> applyState(SourceState state) {
        List<SourceEntry> entriesWithFullValue = withFullValues(state.changed());
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
                changes.add(removalEntry(key, era, state.revision()));
            }
        }
        if (!state.keys().isEmpty()) {
            // The list of keys does not say when each missing key was removed, so earlier removals are incomplete.
            removalsCompleteAfter = Math.max(removalsCompleteAfter, state.revision());
        }
        advanceTo(state.revision());
        return changes;
    }

    /**
     * Returns the entries with full values in place of deltas.
     *
     * @throws IllegalArgumentException when a delta does not apply to the value held by this node
     */
    List<SourceEntry> withFullValues(List<SourceEntry> received) {
        List<SourceEntry> full = new ArrayList<>();
        for (SourceEntry entry : received) {
            full.add(entry.packed() ? withFullValue(entry) : entry);
        }
        return full;
    }

    private SourceEntry withFullValue(SourceEntry entry) {
        byte[] base = new byte[0];
        if (entry.baseRevision() > 0) {
            SourceEntry held = entries.get(entry.key());
            if (held == null || held.era() != entry.baseEra() || held.revision() != entry.baseRevision()) {
                throw new IllegalArgumentException("delta of " + entry.key() + " needs the value at revision "
                        + entry.baseRevision() + " of era " + entry.baseEra());
            }
            base = held.value();
        }
        byte[] value = ValueDelta.apply(base, entry.value());
        return new SourceEntry(entry.key(), entry.revision(), value, false, false, 0, entry.era(), 0);
    }
}
