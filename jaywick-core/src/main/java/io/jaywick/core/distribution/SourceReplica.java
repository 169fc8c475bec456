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
    private static final int MIN_PACKED_BYTES = 512;

    /** Former values of one key; a peer that follows is at most a few changes behind. */
    private static final int MAX_FORMER = 4;

    /** Removals that are remembered; a peer that missed more gets the list of all keys. */
    private static final int MAX_REMOVALS = 512;

    private final Map<String, SourceEntry> entries = new HashMap<>();
    private final Map<String, ArrayDeque<SourceEntry>> former = new HashMap<>();
    private final Map<String, Long> removals = new LinkedHashMap<>();
    private final Map<Step, byte[]> packedBySteps = new HashMap<>();
    private long revision = -1;

    /** Removals after this revision are all remembered. */
    private long removalsSince = -1;

    /** From one value of a key to a later one; many followers need the same difference. */
    private record Step(String key, long fromRevision, long toRevision) {}

    /** Revision up to which this node knows the source; -1 before the first reading. */
    public long revision() {
        return revision;
    }

    /** Notes the revision up to which the entries are known; an older one changes nothing. */
    public void advanceTo(long newer) {
        if (revision < 0) {
            removalsSince = newer;
        }
        revision = Math.max(revision, newer);
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
        SourceEntry known = entries.get(key);
        long knownRevision = known == null ? revision : known.revision();
        if (knownRevision >= entryRevision) {
            return false;
        }
        if (known != null && known.value().length >= MIN_PACKED_BYTES) {
            ArrayDeque<SourceEntry> values = former.computeIfAbsent(key, name -> new ArrayDeque<>());
            values.addFirst(known);
            if (values.size() > MAX_FORMER) {
                values.removeLast();
            }
            packedBySteps.clear();
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
        SourceEntry known = entries.get(key);
        if (known != null && known.revision() > removalRevision) {
            return false;
        }
        entries.remove(key);
        former.remove(key);
        removals.merge(key, removalRevision, Math::max);
        Iterator<Map.Entry<String, Long>> oldest = removals.entrySet().iterator();
        while (removals.size() > MAX_REMOVALS) {
            removalsSince = Math.max(removalsSince, oldest.next().getValue());
            oldest.remove();
        }
        return known != null;
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
        boolean follows = query.waitMillis() > 0 && query.revision() >= removalsSince;
        boolean packs = query.waitMillis() > 0 && !query.whole();
        List<SourceEntry> changed = new ArrayList<>();
        for (SourceEntry entry : entries.values()) {
            if (entry.revision() > query.revision()) {
                changed.add(packs ? packed(entry, query.revision()) : entry);
            }
        }
        if (follows) {
            removals.forEach((key, removed) -> {
                if (removed > query.revision()) {
                    changed.add(removalEntry(key, removed));
                }
            });
        }
        return new SourceState(revision, changed, follows ? List.of() : List.copyOf(entries.keySet()), graceMillis);
    }

    private SourceEntry packed(SourceEntry entry, long heldRevision) {
        if (entry.value().length < MIN_PACKED_BYTES) {
            return entry;
        }
        SourceEntry base = heldAt(entry.key(), heldRevision);
        long baseRevision = base == null ? 0 : base.revision();
        byte[] packed = packedBySteps.computeIfAbsent(
                new Step(entry.key(), baseRevision, entry.revision()),
                step -> ValueDelta.encode(base == null ? new byte[0] : base.value(), entry.value()));
        return new SourceEntry(entry.key(), entry.revision(), packed, false, true, baseRevision);
    }

    private SourceEntry heldAt(String key, long heldRevision) {
        for (SourceEntry value : former.getOrDefault(key, new ArrayDeque<>())) {
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
    public List<SourceEntry> applyState(SourceState peer) {
        List<SourceEntry> whole = new ArrayList<>();
        for (SourceEntry entry : peer.changed()) {
            whole.add(entry.packed() ? unpacked(entry) : entry);
        }
        Set<String> gone = new HashSet<>();
        if (!peer.keys().isEmpty()) {
            gone.addAll(entries.keySet());
            gone.removeAll(Set.copyOf(peer.keys()));
        }
        List<SourceEntry> changes = new ArrayList<>();
        for (SourceEntry entry : whole) {
            if (applyEntry(entry)) {
                changes.add(entry);
            }
        }
        for (String key : gone) {
            if (remove(key, peer.revision())) {
                changes.add(removalEntry(key, peer.revision()));
            }
        }
        if (!peer.keys().isEmpty()) {
            // The removals that led here are not known one by one.
            removalsSince = Math.max(removalsSince, peer.revision());
        }
        advanceTo(peer.revision());
        return changes;
    }

    private SourceEntry unpacked(SourceEntry entry) {
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
