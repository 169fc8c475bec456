package io.jaywick.core.distribution;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.jaywick.core.message.RetainedEntry;
import io.jaywick.core.message.SourceEntry;
import io.jaywick.core.message.SourceQuery;
import io.jaywick.core.message.SourceState;
import io.jaywick.core.message.SourceVersion;

/**
 * What a node knows of the source: the entries that the source lists in the newest era, and the states of former eras
 * that are still used in place of listed ones, because the source may have returned from a copy that is older. The
 * methods that apply something return the resulting changes of what is used. docs/design-platform.md has the table of
 * cases. Not thread-safe.
 */
public final class SourceKnowledge {

    /** Version of a node that has read nothing. */
    public static final SourceVersion NOTHING = new SourceVersion(0, -1, -1, 0, -1);

    /** Maximum number of removals of former eras that are remembered. */
    private static final int MAX_FORMER_REMOVALS = 512;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final RetentionPolicy retention;
    private final LongSupplier nanoTime;
    private final SourceReplica replica = new SourceReplica();
    private final Map<String, Retained> retained = new HashMap<>();
    private final Map<String, SourceEntry> formerRemovals = new LinkedHashMap<>();
    private long formerEra = NOTHING.formerEra();
    private long formerRevision = NOTHING.formerRevision();

    /** Changes after this revision were written in this era; earlier ones may come from the copy. */
    private long eraStart = NOTHING.eraStart();

    private record Retained(SourceEntry entry, long untilNanos) {}

    /**
     * Creates the knowledge of a node that has read nothing.
     *
     * @param nanoTime clock in nanoseconds for the time of retention, see {@link AnsweredTime}
     */
    public SourceKnowledge(RetentionPolicy retention, LongSupplier nanoTime) {
        this.retention = retention;
        this.nanoTime = nanoTime;
    }

    /** Returns up to which position this node holds the source, and from which former position it retains entries. */
    public SourceVersion version() {
        return new SourceVersion(replica.era(), replica.revision(), eraStart, formerEra, formerRevision);
    }

    /** Whether the source was read, directly or through a peer. */
    public boolean isLoaded() {
        return replica.revision() >= 0;
    }

    /** Returns the number of entries whose listed state is not used. */
    public int retainedCount() {
        return retained.size();
    }

    /** Whether the first version belongs to an older era than the second one. */
    public static boolean isOlderEra(SourceVersion version, SourceVersion than) {
        return version.era() < than.era();
    }

    /** Whether the first version is a newer position in the source, or better informed about the same era. */
    public static boolean isNewer(SourceVersion version, SourceVersion than) {
        return compare(version.era(), version.revision(), than.era(), than.revision()) > 0
                || version.era() == than.era() && isBetterInformed(version, than);
    }

    /**
     * Whether the first version knows more of what the source held before it returned, or has seen more changes since.
     * Before the first return that a node knows of, there is nothing to tell.
     */
    public static boolean isBetterInformed(SourceVersion version, SourceVersion than) {
        return hasNewerFormerPosition(version, than) || version.formerRevision() >= 0 && hasSeenBefore(version, than);
    }

    /** Whether the first version has seen changes before those that the second one has seen, without a gap between. */
    private static boolean hasSeenBefore(SourceVersion version, SourceVersion than) {
        return version.eraStart() < than.eraStart() && version.revision() >= than.eraStart();
    }

    private static boolean hasNewerFormerPosition(SourceVersion version, SourceVersion than) {
        return compare(version.formerEra(), version.formerRevision(), than.formerEra(), than.formerRevision()) > 0;
    }

    private static int compare(long era, long revision, long otherEra, long otherRevision) {
        return era == otherEra ? Long.compare(revision, otherRevision) : Long.compare(era, otherEra);
    }

    /**
     * Applies a complete read of the source; keys that it lacks have been removed. A read of an older era is ignored.
     *
     * @param revision revision up to which the read is complete
     */
    public List<SourceEntry> applyRead(long era, long revision, List<SourceEntry> listed) {
        if (era < replica.era()) {
            return List.of();
        }
        if (era > replica.era() || !isLoaded()) {
            return beginEra(era, revision, revision, listed);
        }
        Set<String> removedKeys = new HashSet<>(replica.keys());
        listed.forEach(entry -> removedKeys.remove(entry.key()));
        List<SourceEntry> changes = new ArrayList<>(listed);
        removedKeys.forEach(key -> changes.add(SourceReplica.removalEntry(key, era, revision)));
        boolean skipsChanges = revision > replica.revision();
        List<SourceEntry> used = applyChanges(revision, changes);
        if (skipsChanges) {
            // Removals of entries that this node did not list cannot be seen in a read.
            eraStart = revision;
        }
        return used;
    }

    /** Applies changes of the present era, complete up to a revision. */
    public List<SourceEntry> applyChanges(long revision, List<SourceEntry> changes) {
        List<SourceEntry> listed = new ArrayList<>();
        for (SourceEntry change : changes) {
            if (replica.applyEntry(change)) {
                listed.add(change);
            }
        }
        replica.advanceTo(revision);
        return usedChanges(listed, keysOf(changes));
    }

    private static Set<String> keysOf(List<SourceEntry> entries) {
        Set<String> keys = new HashSet<>();
        entries.forEach(entry -> keys.add(entry.key()));
        return keys;
    }

    /**
     * Ends the use of retained states that what is listed now replaces, and returns the changes of what is used.
     *
     * @param checkedKeys keys whose listed state may have changed; for the others the policy decides as before
     */
    private List<SourceEntry> usedChanges(List<SourceEntry> listed, Set<String> checkedKeys) {
        List<SourceEntry> changes = new ArrayList<>(listed);
        changes.removeIf(change -> retained.containsKey(change.key()));
        retained.values().removeIf(known -> {
            if (!checkedKeys.contains(known.entry.key())) {
                return false;
            }
            SourceEntry state = replica.entryOrRemoval(known.entry.key());
            boolean isReplaced = retention.retentionMillis(known.entry, state, isWritten(state)) <= 0;
            if (isReplaced && !isSameState(known.entry, state)) {
                changes.add(state);
            }
            return isReplaced;
        });
        return changes;
    }

    private static boolean isSameState(SourceEntry a, SourceEntry b) {
        return a.removed() == b.removed() && Arrays.equals(a.value(), b.value());
    }

    /**
     * Applies the state that a peer sent. The state of an older era, or of a node that does not know eras, is ignored.
     *
     * @throws IllegalArgumentException when the state is incomplete or a delta does not apply to the value held by this
     *     node; nothing is changed
     */
    public List<SourceEntry> applyState(SourceState state) {
        SourceVersion version = state.version();
        if (version == null || version.era() < replica.era()) {
            return List.of();
        }
        List<SourceEntry> changes;
        if (version.era() > replica.era() || !isLoaded()) {
            changes = beginEra(version.era(), version.revision(), version.eraStart(), listedBy(state));
        } else {
            SourceVersion heldBefore = version();
            List<SourceEntry> listed = replica.applyState(state);
            Set<String> checkedKeys = keysOf(state.changed());
            checkedKeys.addAll(keysOf(listed));
            if (hasSeenBefore(version, heldBefore)) {
                eraStart = version.eraStart();
                // Each listed state may now count as written in this era.
                checkedKeys = Set.copyOf(retained.keySet());
            }
            changes = usedChanges(listed, checkedKeys);
        }
        if (hasNewerFormerPosition(version, version())) {
            state.retained().forEach(entry -> retainOfPeer(entry, changes));
            formerEra = version.formerEra();
            formerRevision = version.formerRevision();
        }
        return changes;
    }

    private List<SourceEntry> listedBy(SourceState state) {
        List<SourceEntry> listed = replica.withFullValues(state.changed());
        Set<String> keys = new HashSet<>();
        listed.stream().filter(entry -> !entry.removed()).forEach(entry -> keys.add(entry.key()));
        if (!keys.equals(Set.copyOf(state.keys()))) {
            throw new IllegalArgumentException(
                    "the first state of era " + state.version().era() + " has " + keys.size() + " entries for "
                            + state.keys().size() + " keys");
        }
        return listed;
    }

    private List<SourceEntry> beginEra(long era, long revision, long firstRevision, Collection<SourceEntry> listed) {
        Map<String, SourceEntry> known = usedStates();
        if (isLoaded()) {
            formerEra = replica.era();
            formerRevision = replica.revision();
        }
        replica.beginEra(era, revision, listed);
        eraStart = firstRevision;
        retained.clear();
        formerRemovals.clear();
        Set<String> keys = new HashSet<>(known.keySet());
        listed.forEach(entry -> keys.add(entry.key()));
        List<SourceEntry> changes = new ArrayList<>();
        for (String key : keys) {
            SourceEntry state = replica.entryOrRemoval(key);
            SourceEntry knownState = known.get(key);
            if (knownState == null) {
                changes.add(state);
            } else if (isSameState(knownState, state)) {
                rememberRemoval(knownState);
            } else if (!retain(knownState, state, isWritten(state), RetentionPolicy.UNLIMITED_MILLIS)) {
                changes.add(state);
            }
        }
        return changes;
    }

    /** Returns the state of each key that this node uses, with the removals that it remembers. */
    private Map<String, SourceEntry> usedStates() {
        Map<String, SourceEntry> states = new HashMap<>(formerRemovals);
        replica.removals().forEach(entry -> states.put(entry.key(), entry));
        replica.keys().forEach(key -> states.put(key, replica.entryOrRemoval(key)));
        retained.forEach((key, entry) -> states.put(key, entry.entry));
        return states;
    }

    /** A copy that is older still may list an entry again that the present one lacks. */
    private void rememberRemoval(SourceEntry entry) {
        if (entry.removed()) {
            formerRemovals.put(entry.key(), entry);
            Iterator<String> oldest = formerRemovals.keySet().iterator();
            while (formerRemovals.size() > MAX_FORMER_REMOVALS) {
                oldest.next();
                oldest.remove();
            }
        }
    }

    private boolean isWritten(SourceEntry listed) {
        return listed.revision() > eraStart;
    }

    private boolean retain(SourceEntry known, SourceEntry listed, boolean isWritten, long maxMillis) {
        long millis = Math.min(maxMillis, retention.retentionMillis(known, listed, isWritten));
        if (millis <= 0) {
            return false;
        }
        retained.put(known.key(), new Retained(known, nanoTime.getAsLong() + TimeUnit.MILLISECONDS.toNanos(millis)));
        return true;
    }

    /** Retains the state that a peer knows of a former era, unless this node knows a newer one. */
    private void retainOfPeer(RetainedEntry ofPeer, List<SourceEntry> changes) {
        SourceEntry entry = ofPeer.entry();
        Retained own = retained.get(entry.key());
        if (own != null && compare(own.entry.era(), own.entry.revision(), entry.era(), entry.revision()) >= 0) {
            return;
        }
        SourceEntry listed = replica.entryOrRemoval(entry.key());
        SourceEntry used = own == null ? listed : own.entry;
        if (retain(entry, listed, isWritten(listed), ofPeer.remainingMillis()) && !isSameState(used, entry)) {
            changes.add(entry);
        }
    }

    /** Ends the use of states whose time is over and returns the listed states that replace them. */
    public List<SourceEntry> removeExpired() {
        long now = nanoTime.getAsLong();
        List<SourceEntry> changes = new ArrayList<>();
        retained.values().removeIf(known -> {
            boolean isExpired = now - known.untilNanos >= 0;
            if (isExpired) {
                changes.add(replica.entryOrRemoval(known.entry.key()));
            }
            return isExpired;
        });
        return changes;
    }

    /** Returns the milliseconds until {@link #removeExpired} has something to replace; -1 if nothing is retained. */
    public long millisUntilExpiry() {
        long now = nanoTime.getAsLong();
        long nanos = Long.MAX_VALUE;
        for (Retained known : retained.values()) {
            nanos = Math.min(nanos, known.untilNanos - now);
        }
        return retained.isEmpty() ? -1 : Math.max(0, (nanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI);
    }

    /**
     * Returns what the querying peer lacks, or null when it lacks nothing or holds a newer era.
     *
     * @param graceMillis how long entries that vanished may still reappear after an outage of the source, in
     *     milliseconds
     * @param ageMillis time since the source last answered, in milliseconds
     */
    public SourceState changesSince(SourceQuery query, long graceMillis, long ageMillis) {
        SourceVersion own = version();
        SourceVersion held = query.version();
        if (!isLoaded() || held != null && isOlderEra(own, held)) {
            return null;
        }
        SourceState state = replica.changesSince(query, graceMillis);
        boolean isBetterInformed = held != null && isBetterInformed(own, held);
        if (state == null && !isBetterInformed) {
            return null;
        }
        List<SourceEntry> changed = state == null ? new ArrayList<>() : new ArrayList<>(state.changed());
        if (isBetterInformed && held.era() == own.era()) {
            // These include removals that the peer cannot have noticed, because the copy lacked the entries as well.
            changed.addAll(replica.removals());
        }
        return new SourceState(
                own.revision(),
                changed,
                state == null ? List.of() : state.keys(),
                graceMillis,
                own,
                isBetterInformed ? retainedEntries() : List.of(),
                ageMillis);
    }

    private List<RetainedEntry> retainedEntries() {
        long now = nanoTime.getAsLong();
        List<RetainedEntry> entries = new ArrayList<>();
        for (Retained known : retained.values()) {
            entries.add(new RetainedEntry(known.entry, TimeUnit.NANOSECONDS.toMillis(known.untilNanos - now)));
        }
        return entries;
    }
}
