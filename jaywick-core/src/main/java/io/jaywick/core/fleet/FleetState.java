package io.jaywick.core.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

import io.jaywick.core.rules.RuleSet;

/**
 * Folds what the platform publishes into views. Rules never go back to an older version. Entries that vanish in bulk,
 * or right after the platform was out of reach, are kept for a grace period, because live instances register again
 * shortly after the platform returns. Not thread-safe.
 */
public final class FleetState {

    /** Live instances are listed again about two seconds after the platform's return, as the platform promises. */
    public static final long REMOVAL_GRACE_MILLIS = 2_000;

    /** Share of the entries that vanish together only when the platform lost them. */
    private static final double BULK_FRACTION = 0.2;

    /** A planned removal takes fewer entries at once than this in a small fleet. */
    private static final int BULK_MIN_ENTRIES = 3;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final LongSupplier nanoTime;
    private final Map<String, Instance> instances = new HashMap<>();
    private final Map<String, Long> retainedUntilNanos = new HashMap<>();
    private final Set<String> evacuated = new HashSet<>();
    private RuleSet rules = RuleSet.EMPTY;
    private FleetView view = new FleetView(rules, Set.of(), Set.of());
    private long graceUntilNanos;
    private boolean hasGracePeriod;

    public FleetState(LongSupplier nanoTime) {
        this.nanoTime = nanoTime;
    }

    /** The newest view; the same object until something changes. */
    public FleetView view() {
        return view;
    }

    /** Applies a version of the rules; returns false, and changes nothing, when it is not newer than the one held. */
    public boolean activateRules(RuleSet newer) {
        if (newer.version() <= rules.version()) {
            return false;
        }
        rules = newer;
        return true;
    }

    /** Notes an entry of the platform's list. */
    public void put(Instance instance) {
        retainedUntilNanos.remove(instance.id());
        instances.put(instance.id(), instance);
    }

    /** Notes that entries vanished in one step. */
    public void remove(Set<String> ids) {
        boolean bulk = ids.size() >= BULK_MIN_ENTRIES && ids.size() >= BULK_FRACTION * instances.size();
        long now = nanoTime.getAsLong();
        boolean inGracePeriod = hasGracePeriod && now - graceUntilNanos < 0;
        for (String id : ids) {
            Instance listed = instances.get(id);
            if (listed == null) {
                continue;
            }
            if (!listed.draining() && (bulk || inGracePeriod)) {
                long until = inGracePeriod ? graceUntilNanos : now + REMOVAL_GRACE_MILLIS * NANOS_PER_MILLI;
                retainedUntilNanos.putIfAbsent(id, until);
            } else {
                instances.remove(id);
                retainedUntilNanos.remove(id);
            }
        }
    }

    /** Notes that the platform answers again after it was out of reach. */
    public void markReconnected() {
        extendGracePeriod(REMOVAL_GRACE_MILLIS);
    }

    /** Keeps the entries that vanish within the given time; a shorter time than the one under way changes nothing. */
    public void extendGracePeriod(long millis) {
        if (millis > remainingGraceMillis()) {
            hasGracePeriod = true;
            graceUntilNanos = nanoTime.getAsLong() + millis * NANOS_PER_MILLI;
        }
    }

    /** How much longer single entries that vanish are kept; 0 when the platform was in reach all the while. */
    public long remainingGraceMillis() {
        return hasGracePeriod ? Math.max(0, (graceUntilNanos - nanoTime.getAsLong()) / NANOS_PER_MILLI) : 0;
    }

    /** Drops vanished entries whose grace period is over; returns whether there were any. */
    public boolean removeExpired() {
        long now = nanoTime.getAsLong();
        Set<String> expired = new HashSet<>();
        for (Map.Entry<String, Long> retained : retainedUntilNanos.entrySet()) {
            if (now - retained.getValue() >= 0) {
                expired.add(retained.getKey());
            }
        }
        for (String id : expired) {
            retainedUntilNanos.remove(id);
            instances.remove(id);
        }
        return !expired.isEmpty();
    }

    /** Whether vanished entries are held. */
    public boolean hasRetainedEntries() {
        return !retainedUntilNanos.isEmpty();
    }

    public void evacuate(String dataCentre) {
        evacuated.add(dataCentre);
    }

    public void restore(String dataCentre) {
        evacuated.remove(dataCentre);
    }

    /** Ids of the entries held, those that lapsed included. */
    public Set<String> instanceIds() {
        return Set.copyOf(instances.keySet());
    }

    /** Makes the view of all that was noted so far. */
    public FleetView publish() {
        view = new FleetView(rules, instances.values(), evacuated);
        return view;
    }
}
