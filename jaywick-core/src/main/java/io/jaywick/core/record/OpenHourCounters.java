package io.jaywick.core.record;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Cumulative counters of one process by hour, until they are taken after the end of the hour. Not thread safe. */
final class OpenHourCounters {

    private final int maxKeysPerHour;
    private final TreeMap<Long, Map<UsageKey, UsageCounters>> hours = new TreeMap<>();
    private Set<UsageKey> changed = new HashSet<>();
    private long endedCalls;
    private long endedDispatches;
    private long unwrittenCalls;

    OpenHourCounters(int maxKeysPerHour) {
        this.maxKeysPerHour = maxKeysPerHour;
    }

    void add(UsageKey key, UsageCounters delta) {
        Map<UsageKey, UsageCounters> hour = hours.computeIfAbsent(key.hour(), ignored -> new HashMap<>());
        UsageKey overflow = UsageKey.overflow(key.hour());
        int namedKeys = hour.containsKey(overflow) ? hour.size() - 1 : hour.size();
        UsageKey effectiveKey = namedKeys >= maxKeysPerHour && !hour.containsKey(key) ? overflow : key;
        hour.computeIfAbsent(effectiveKey, ignored -> new UsageCounters()).addAll(delta);
        changed.add(effectiveKey);
        long calls = delta.endedCalls();
        long dispatches = delta.get(UsageCounters.DISPATCHES);
        endedCalls += calls;
        endedDispatches += dispatches;
        unwrittenCalls += calls + dispatches;
    }

    long endedCalls() {
        return endedCalls;
    }

    long endedDispatches() {
        return endedDispatches;
    }

    /** Returns whether an hour has ended or the average number of calls for each changed key reaches the given one. */
    boolean isWriteDue(long currentHour, int callsPerEntry) {
        return !hours.isEmpty() && hours.firstKey() < currentHour
                || unwrittenCalls >= (long) callsPerEntry * changed.size();
    }

    /** Returns copies of the changed counters and all counters of ended hours, and removes the ended hours. */
    List<UsageEntry> takeChanged(long currentHour) {
        List<UsageEntry> entries = new ArrayList<>();
        while (!hours.isEmpty() && hours.firstKey() < currentHour) {
            hours.pollFirstEntry().getValue().forEach((key, counters) -> entries.add(new UsageEntry(key, counters)));
        }
        for (UsageKey key : changed) {
            Map<UsageKey, UsageCounters> hour = hours.get(key.hour());
            if (hour != null) {
                entries.add(new UsageEntry(key, hour.get(key).copy()));
            }
        }
        changed = new HashSet<>();
        unwrittenCalls = 0;
        return entries;
    }

    /** Returns copies of all counters without marking them as written. */
    List<UsageEntry> copyAll() {
        List<UsageEntry> entries = new ArrayList<>();
        for (Map<UsageKey, UsageCounters> hour : hours.values()) {
            hour.forEach((key, counters) -> entries.add(new UsageEntry(key, counters.copy())));
        }
        return entries;
    }

    /** Returns copies of all counters and marks them as written. */
    List<UsageEntry> takeAll() {
        changed = new HashSet<>();
        unwrittenCalls = 0;
        return copyAll();
    }
}
