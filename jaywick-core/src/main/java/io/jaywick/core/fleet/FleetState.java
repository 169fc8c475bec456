package io.jaywick.core.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

import io.jaywick.core.rules.RuleSet;

/**
 * Builds views of the fleet from the updates of the platform. The version of the rules never regresses. Entries that
 * are removed shortly after the platform was unreachable are retained for a grace period, because live instances
 * register again shortly after the platform recovers. Not thread-safe.
 */
public final class FleetState {

    /** The platform guarantees that live instances are listed again about two seconds after it recovers. */
    public static final long REMOVAL_GRACE_MILLIS = 2_000;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final LongSupplier nanoTime;
    private final Map<String, Instance> instances = new HashMap<>();
    private final Map<String, Long> retainedUntilNanos = new HashMap<>();
    private final Set<String> retainedUntilReachable = new HashSet<>();
    private final Set<String> evacuated = new HashSet<>();
    private RuleSet rules = RuleSet.EMPTY;
    private FleetView view = new FleetView(rules, Set.of(), Set.of());
    private long graceUntilNanos;
    private boolean hasGracePeriod;

    /**
     * Creates the state of an empty fleet.
     *
     * @param nanoTime clock in nanoseconds for grace periods, which counts only time during which the platform is known
     *     to be reachable
     */
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

    /** Replaces the content of the active version. Returns false, without any effect, if it is another version. */
    public boolean rewriteRules(RuleSet rewritten) {
        if (rewritten.version() != rules.version()) {
            return false;
        }
        rules = rewritten;
        return true;
    }

    /** Adds or replaces an instance that the platform lists. */
    public void put(Instance instance) {
        forgetRetention(instance.id());
        instances.put(instance.id(), instance);
    }

    /**
     * Removes instances that the platform stopped listing. Within the grace period they are retained until it ends,
     * unless they were draining. Outside of it any number of them is removed at once: instances that leave together
     * stop serving soon after.
     *
     * @return the number of retained entries
     */
    public int remove(Set<String> ids) {
        boolean inGracePeriod = hasGracePeriod && nanoTime.getAsLong() - graceUntilNanos < 0;
        int retained = 0;
        for (String id : ids) {
            Instance listed = instances.get(id);
            if (listed == null) {
                continue;
            }
            if (inGracePeriod && !listed.draining()) {
                retainedUntilNanos.putIfAbsent(id, graceUntilNanos);
                retained++;
            } else {
                instances.remove(id);
                forgetRetention(id);
            }
        }
        return retained;
    }

    private void forgetRetention(String id) {
        retainedUntilNanos.remove(id);
        retainedUntilReachable.remove(id);
    }

    /** Keeps the entries that are retained now until the platform is reachable; no instance can register before. */
    public void markUnreachable() {
        retainedUntilReachable.addAll(retainedUntilNanos.keySet());
    }

    /** Starts the grace period after the platform has become reachable again. */
    public void markReconnected() {
        extendGracePeriod(REMOVAL_GRACE_MILLIS);
        restartRetention();
    }

    /** Gives instances whose entries were retained when the platform became unreachable the whole grace period. */
    public void restartRetention() {
        long untilNanos = nanoTime.getAsLong() + REMOVAL_GRACE_MILLIS * NANOS_PER_MILLI;
        retainedUntilReachable.forEach(id -> retainedUntilNanos.replace(id, untilNanos));
        retainedUntilReachable.clear();
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
            if (now - retained.getValue() >= 0 && !retainedUntilReachable.contains(retained.getKey())) {
                expired.add(retained.getKey());
            }
        }
        for (String id : expired) {
            retainedUntilNanos.remove(id);
            instances.remove(id);
        }
        return !expired.isEmpty();
    }

    /**
     * Returns the milliseconds until {@link #removeExpired} has something to remove; -1 if there is nothing to wait for.
     */
    public long millisUntilExpiry() {
        long now = nanoTime.getAsLong();
        long nanos = Long.MAX_VALUE;
        for (Map.Entry<String, Long> retained : retainedUntilNanos.entrySet()) {
            if (!retainedUntilReachable.contains(retained.getKey())) {
                nanos = Math.min(nanos, retained.getValue() - now);
            }
        }
        return nanos == Long.MAX_VALUE ? -1 : Math.max(0, (nanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI);
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
