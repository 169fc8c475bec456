package io.jaywick.core.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

import io.jaywick.core.message.SuspectEntry;
import io.jaywick.core.snapshot.HomeRegions;

/**
 * Fingerprints of requests that were in flight when a target crashed. A fingerprint seen at as many crashes as the
 * {@link SuspectPolicy} states is blocked; one crash blocks nothing, because most requests in flight at a crash did not
 * cause it. Thread-safe; holds at most {@link #MAX_ENTRIES} entries.
 */
public final class SuspectList {

    public static final int MAX_ENTRIES = 4_096;
    public static final long EXPIRY_MILLIS = 600_000;

    /** Bounds the memory of one entry; further crashes are not recorded. */
    private static final int MAX_CRASHES = 16;

    private static final long NANOS_PER_MILLI = 1_000_000;

    /** The crashes that count, and those that do not because another one at the same time does. */
    private record Entry(
            Set<String> crashIds,
            Set<String> simultaneousIds,
            Set<String> homeRegions,
            long lastCrashNanos,
            long expiresNanos) {
        int crashes() {
            return crashIds.size();
        }
    }

    private final String region;
    private final SuspectPolicy policy;
    private final LongSupplier nanoTime;
    private final Map<String, Entry> entries = new HashMap<>();

    /**
     * Creates an empty list for a node in the given region. Received entries that are bound to other regions are not
     * kept.
     */
    public SuspectList(String region, SuspectPolicy policy, LongSupplier nanoTime) {
        this.region = region;
        this.policy = policy;
        this.nanoTime = nanoTime;
    }

    /**
     * Records that a target crashed with the request in flight.
     *
     * @param crashId identifier of the crash, unique across all nodes, so that nodes can add up different crashes
     */
    public synchronized void recordCrash(String fingerprint, String crashId, Set<String> homeRegions) {
        add(fingerprint, Set.of(crashId), homeRegions, EXPIRY_MILLIS);
    }

    /** Removes a request that was answered and hence did not cause the crashes recorded for it. */
    public synchronized void clear(String fingerprint) {
        if (!entries.isEmpty()) {
            entries.remove(fingerprint);
        }
    }

    public synchronized boolean isBlocked(String fingerprint) {
        return blockedMillis(fingerprint) > 0;
    }

    /** Returns the milliseconds for which a request remains blocked, 0 for one that is not blocked. */
    public synchronized long blockedMillis(String fingerprint) {
        Entry entry = entries.isEmpty() ? null : unexpiredEntry(fingerprint);
        if (entry == null || entry.crashes() < policy.crashesToBlock()) {
            return 0;
        }
        long sinceCrashMillis = (nanoTime.getAsLong() - entry.lastCrashNanos()) / NANOS_PER_MILLI;
        return Math.max(0, Math.min(policy.blockMillis() - sinceCrashMillis, remainingMillis(entry)));
    }

    /** Returns the identifiers of the crashes recorded for a request, empty for most requests. */
    public synchronized Set<String> crashIds(String fingerprint) {
        Entry entry = entries.isEmpty() ? null : unexpiredEntry(fingerprint);
        return entry == null ? Set.of() : entry.crashIds();
    }

    /**
     * Merges an entry received from a peer, with a request or with a refusal. Crashes with the same identifier count
     * once.
     */
    public synchronized void merge(SuspectEntry remote) {
        Set<String> homeRegions = Set.copyOf(remote.homeRegions());
        if (!HomeRegions.allows(homeRegions, region) || remote.crashIds().isEmpty() || remote.expiresInMillis() <= 0) {
            return;
        }
        add(remote.fingerprint(), Set.copyOf(remote.crashIds()), homeRegions, remote.expiresInMillis());
    }

    /** Returns the entries that may be sent to a peer in the given region, those with the most crashes first. */
    public synchronized List<SuspectEntry> entriesFor(String peerRegion, int max) {
        return entries.entrySet().stream()
                .filter(item -> remainingMillis(item.getValue()) > 0
                        && HomeRegions.allows(item.getValue().homeRegions(), peerRegion))
                .sorted(Comparator.comparingInt((Map.Entry<String, Entry> item) ->
                                item.getValue().crashes())
                        .reversed())
                .limit(max)
                .map(item -> toMessage(item.getKey(), item.getValue()))
                .toList();
    }

    /** Returns the entries of the given requests that may be sent to a peer in the given region. */
    public synchronized List<SuspectEntry> entriesOf(Collection<String> fingerprints, String peerRegion) {
        List<SuspectEntry> result = new ArrayList<>();
        for (String fingerprint : fingerprints) {
            Entry entry = unexpiredEntry(fingerprint);
            if (entry != null && HomeRegions.allows(entry.homeRegions(), peerRegion)) {
                result.add(toMessage(fingerprint, entry));
            }
        }
        return result;
    }

    private SuspectEntry toMessage(String fingerprint, Entry entry) {
        return new SuspectEntry(
                fingerprint, List.copyOf(entry.crashIds()), List.copyOf(entry.homeRegions()), remainingMillis(entry));
    }

    /** Rounded up, so that an entry that has not expired has at least one millisecond left. */
    private long remainingMillis(Entry entry) {
        return (entry.expiresNanos() - nanoTime.getAsLong() + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI;
    }

    public synchronized boolean isEmpty() {
        return entries.isEmpty();
    }

    public synchronized int size() {
        return entries.size();
    }

    /** Returns the highest number of crashes that are counted for one request. */
    public synchronized int mostCrashes() {
        return entries.values().stream().mapToInt(Entry::crashes).max().orElse(0);
    }

    private void add(String fingerprint, Set<String> crashIds, Set<String> homeRegions, long expiresInMillis) {
        Entry known = unexpiredEntry(fingerprint);
        long nowNanos = nanoTime.getAsLong();
        Set<String> all = new LinkedHashSet<>(known == null ? Set.of() : known.crashIds());
        Set<String> simultaneous = new LinkedHashSet<>(known == null ? Set.of() : known.simultaneousIds());
        if (known != null && nowNanos - known.lastCrashNanos() < policy.minSpacingMillis() * NANOS_PER_MILLI) {
            if (crashIds.size() <= all.size()) {
                // The peer may report them again, together with crashes at other times.
                crashIds.stream().filter(id -> !all.contains(id)).forEach(id -> addBounded(simultaneous, id));
                put(
                        fingerprint,
                        new Entry(
                                all, simultaneous, known.homeRegions(), known.lastCrashNanos(), known.expiresNanos()));
                return;
            }
            // The peer knows earlier crashes, and its count excludes simultaneous ones.
            all.forEach(id -> addBounded(simultaneous, id));
            simultaneous.removeAll(crashIds);
            all.clear();
        }
        boolean changed = false;
        for (String crashId : crashIds) {
            changed |= !simultaneous.contains(crashId) && addBounded(all, crashId);
        }
        if (changed) {
            long expiresIn = Math.min(EXPIRY_MILLIS, expiresInMillis);
            put(
                    fingerprint,
                    new Entry(all, simultaneous, homeRegions, nowNanos, nowNanos + expiresIn * NANOS_PER_MILLI));
        }
    }

    private static boolean addBounded(Set<String> crashIds, String crashId) {
        return crashIds.size() < MAX_CRASHES && crashIds.add(crashId);
    }

    private Entry unexpiredEntry(String fingerprint) {
        Entry entry = entries.get(fingerprint);
        if (entry != null && nanoTime.getAsLong() - entry.expiresNanos() >= 0) {
            entries.remove(fingerprint);
            return null;
        }
        return entry;
    }

    private void put(String fingerprint, Entry entry) {
        if (entries.size() >= MAX_ENTRIES && !entries.containsKey(fingerprint)) {
            evict();
        }
        entries.put(fingerprint, entry);
    }

    /** Removes all expired entries or, if there are none, the entry with the fewest crashes that expires first. */
    private void evict() {
        long nowNanos = nanoTime.getAsLong();
        String evictedFingerprint = null;
        Entry candidate = null;
        for (Iterator<Map.Entry<String, Entry>> all = entries.entrySet().iterator(); all.hasNext(); ) {
            Map.Entry<String, Entry> item = all.next();
            Entry entry = item.getValue();
            if (nowNanos - entry.expiresNanos() >= 0) {
                all.remove();
            } else if (candidate == null
                    || entry.crashes() < candidate.crashes()
                    || entry.crashes() == candidate.crashes() && entry.expiresNanos() - candidate.expiresNanos() < 0) {
                evictedFingerprint = item.getKey();
                candidate = entry;
            }
        }
        if (entries.size() >= MAX_ENTRIES) {
            entries.remove(evictedFingerprint);
        }
    }
}
