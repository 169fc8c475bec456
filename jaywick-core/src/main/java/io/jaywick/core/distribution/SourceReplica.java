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
 * What a node holds of the source: each entry with the revision of its last change, the latest removals, and former
 * values of large entries, so that a peer that is a little behind gets differences only. The revision never goes back.
 * Not thread-safe.
 */
public final class SourceReplica {

    /** Smaller values are sent as they are. */
    private static final int MIN_DELTA_VALUE_BYTES = 512;

    /** Former values of one key; a peer that follows is at most a few changes behind. */
    private static final int MAX_FORMER_VALUES = 4;

    /** Removals that are remembered; a peer that missed more gets the list of all keys. */
    private static final int MAX_REMOVALS = 512;

    private final Map<String, SourceEntry> entries = new HashMap<>();
    private final Map<String, ArrayDeque<SourceEntry>> formerValues = new HashMap<>();
    private final Map<String, Long> removals = new LinkedHashMap<>();
    private final Map<DeltaKey, byte[]> encodedDeltas = new HashMap<>();
    private long revision = -1;

    /** Removals after this revision are all remembered. */
    private long removalsCompleteAfter = -1;

    /** From one value of a key to a later one; many followers need the same difference. */
    private record DeltaKey(String key, long fromRevision, long toRevision) {}

    /** Revision up to which this node knows the source; -1 before the first reading. */
    public long revision() {
        return revision;
    }

    /** Notes the revision up to which the entries are known; an older one changes nothing. */
    public void advanceTo(long newRevision) {
        if (revision < 0) {
            removalsCompleteAfter = newRevision;
        }
        revision = Math.max(revision, newRevision);
    }

    /** Keys of all entries. */
    public Set<String> keys() {
        return Set.copyOf(entries.keySet());
    }

    /**
     * Notes an entry; returns false, and changes nothing, when the one held is not older, or when there is none although
     * all entries of that revision are known: it was removed since, and this is late news.
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

    /** Notes a whole entry or its removal; returns whether it changed anything. */
    public boolean applyEntry(SourceEntry entry) {
        return entry.removed()
                ? remove(entry.key(), entry.revision())
                : put(entry.key(), entry.revision(), entry.value());
    }

    /** The entry that says that a key is gone since a revision. */
    public static SourceEntry removalEntry(String key, long revision) {
        return new SourceEntry(key, revision, new byte[0], true, false, 0);
    }

    /** Notes that an entry is gone since a revision; returns whether there was an older one. */
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
     * Returns what a peer lacks, or null when it lacks nothing.
     *
     * @param graceMillis how long entries that vanish may still come back
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
                step -> ValueDelta.encode(base == null ? new byte[0] : base.value(), entry.value()));
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
     * Takes over what a peer knows and returns the changes, removals included, with whole values.
     *
     * @throws IllegalArgumentException when a difference does not lead on from what this node holds; nothing is changed
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
            // The removals that led here are not known one by one.
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
                throw new IllegalArgumentException("no value of " + entry.key() + " at " + entry.baseRevision());
            }
            base = held.value();
        }
        byte[] value = ValueDelta.apply(base, entry.value());
        return new SourceEntry(entry.key(), entry.revision(), value, false, false, 0);
    }
}
