package io.jaywick.core.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

import io.jaywick.core.rules.RuleSet;

/**
 * Builds views of the fleet from the updates of the platform. The version of the rules never regresses. Entries that
 * are removed in bulk, or shortly after the platform was unreachable, are retained for a grace period, because live
 * instances register again shortly after the platform recovers. Not thread-safe.
 */
public final class FleetState {

    /** The platform guarantees that live instances are listed again about two seconds after it recovers. */
    public static final long REMOVAL_GRACE_MILLIS = 2_000;

    /** At least this fraction of the entries is removed in one step only when the platform has lost them. */
    private static final double BULK_FRACTION = 0.2;

    /** Planned removals in a small fleet remove fewer entries than this in one step. */
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

    /** Returns the newest view; the same object until the next {@link #publish}. */
    public FleetView view() {
        return view;
    }

    /** Activates a version of the rules. Returns false, without any effect, if it is not newer than the active one. */
    public boolean activateRules(RuleSet newer) {
        if (newer.version() <= rules.version()) {
            return false;
        }
        rules = newer;
        return true;
    }

    /** Adds or replaces an instance that the platform lists. */
    public void put(Instance instance) {
        retainedUntilNanos.remove(instance.id());
        instances.put(instance.id(), instance);
    }

    /**
     * Removes instances that the platform stopped listing in one step. Within the grace period they are retained until
     * it ends; a bulk removal outside of it is retained for {@link #REMOVAL_GRACE_MILLIS}. Draining instances are
     * removed at once.
     */
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

    /** Starts the grace period after the platform has become reachable again. */
    public void markReconnected() {
        extendGracePeriod(REMOVAL_GRACE_MILLIS);
    }

    /** Sets the grace period to end after the given time, unless the current one lasts longer. */
    public void extendGracePeriod(long millis) {
        if (millis > remainingGraceMillis()) {
            hasGracePeriod = true;
            graceUntilNanos = nanoTime.getAsLong() + millis * NANOS_PER_MILLI;
        }
    }

    /** Returns the milliseconds for which single removed entries are still retained; 0 outside the grace period. */
    public long remainingGraceMillis() {
        return hasGracePeriod ? Math.max(0, (graceUntilNanos - nanoTime.getAsLong()) / NANOS_PER_MILLI) : 0;
    }

    /** Removes retained entries whose grace period is over; returns whether there were any. */
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

    /** Returns whether any removed entries are retained. */
    public boolean hasRetainedEntries() {
        return !retainedUntilNanos.isEmpty();
    }

    public void evacuate(String dataCentre) {
        evacuated.add(dataCentre);
    }

    public void restore(String dataCentre) {
        evacuated.remove(dataCentre);
    }

    /** Returns the ids of all entries, including retained ones. */
    public Set<String> instanceIds() {
        return Set.copyOf(instances.keySet());
    }

    /** Builds and returns a view of the current state. */
    public FleetView publish() {
        view = new FleetView(rules, instances.values(), evacuated);
        return view;
    }
}
