package io.jaywick.core.placement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

import io.jaywick.core.fleet.FleetView;
import io.jaywick.core.fleet.Instance;

/**
 * The instances that one call may still be offered to: near ones first as trials, then the one that is expected to answer
 * first as the last resort, and never an instance that had the call before. Not thread-safe.
 */
public final class AttemptPlan {

    /** Instances that are asked, nearest first, whether they can meet the objective; each costs a round trip. */
    private static final int MAX_TRIALS = 4;

    /** Instances that are asked to take a call that meets its objective nowhere. */
    private static final int MAX_LAST_RESORTS = 2;

    /** Instances that are asked to take a hedge; each of them may refuse it. */
    private static final int MAX_HEDGES = 2;

    /** Half of the time within which a report of load loses half of its weight. */
    private static final long ORDER_NANOS = 100_000_000;

    private final InstanceSelector placement;
    private final Supplier<FleetView> fleet;
    private final String service;
    private final String route;
    private final Set<String> homeRegions;
    private final Set<String> refusedBy = new HashSet<>();
    private final Set<String> lastResorts = new HashSet<>();
    private final Set<String> excluded = new HashSet<>();
    private final Set<String> asked = new HashSet<>();
    private int trials;
    private int hedges;
    private List<Instance> ordered = List.of();
    private FleetView orderedView;
    private long orderedNanos;
    private boolean exhausted;
    private long minWaitMillis = -1;

    /** An instance that is asked next. */
    public record Choice(Instance instance, AttemptPurpose purpose) {}

    /**
     * Makes the plan of a call that nobody was asked to take.
     *
     * @param homeRegions regions in which the call may be processed; empty means any
     */
    public AttemptPlan(
            InstanceSelector placement,
            Supplier<FleetView> fleet,
            String service,
            String route,
            Set<String> homeRegions) {
        this.placement = placement;
        this.fleet = fleet;
        this.service = service;
        this.route = route;
        this.homeRegions = homeRegions;
    }

    /**
     * Returns the instance that is asked next, or null when there is none that may answer in time.
     *
     * @param objectiveMillis time left until the latency objective
     * @param remainingMillis time left until the deadline
     */
    public Choice nextAttempt(long objectiveMillis, long remainingMillis) {
        List<Instance> order = candidates();
        exhausted = order.isEmpty();
        if (trials < MAX_TRIALS) {
            for (Instance instance : order) {
                if (!refusedBy.contains(instance.id()) && placement.mayMeet(instance, route, objectiveMillis)) {
                    trials++;
                    return ask(instance, AttemptPurpose.TRIAL);
                }
            }
        }
        order.removeIf(instance -> lastResorts.contains(instance.id()));
        // A call that can be answered nowhere in time is refused at once, and its caller is told when to come back.
        order.removeIf(instance -> isTooLate(instance, remainingMillis));
        Instance last = placement.lastResort(fleet.get(), order);
        if (last == null || lastResorts.size() >= MAX_LAST_RESORTS) {
            return null;
        }
        lastResorts.add(last.id());
        return ask(last, AttemptPurpose.LAST_RESORT);
    }

    private boolean isTooLate(Instance instance, long remainingMillis) {
        double millis = placement.waitMillis(instance);
        if (millis <= remainingMillis) {
            return false;
        }
        minWaitMillis = minWaitMillis < 0 ? (long) millis : Math.min(minWaitMillis, (long) millis);
        return true;
    }

    /** Least wait at an instance that was left out because it is longer than the time left; -1 when there was none. */
    public long minWaitMillis() {
        return minWaitMillis;
    }

    /**
     * Returns the instance that is asked to take a hedge, or null when there is none.
     *
     * @param remainingMillis time left until the deadline
     */
    public Choice nextHedge(long remainingMillis) {
        if (hedges >= MAX_HEDGES) {
            return null;
        }
        for (Instance instance : candidates()) {
            if (!refusedBy.contains(instance.id())
                    && !asked.contains(instance.id())
                    && placement.mayMeet(instance, route, remainingMillis)) {
                hedges++;
                return ask(instance, AttemptPurpose.HEDGE);
            }
        }
        return null;
    }

    /** Refusals follow each other within milliseconds; in that time the order of the instances hardly changes. */
    private List<Instance> candidates() {
        FleetView view = fleet.get();
        long now = placement.nowNanos();
        if (view != orderedView || now - orderedNanos > ORDER_NANOS) {
            ordered = placement.order(view, service, homeRegions);
            orderedView = view;
            orderedNanos = now;
        }
        List<Instance> order = new ArrayList<>(ordered);
        order.removeIf(instance -> excluded.contains(instance.id()));
        return order;
    }

    private Choice ask(Instance instance, AttemptPurpose purpose) {
        asked.add(instance.id());
        return new Choice(instance, purpose);
    }

    /** Whether a hedge was asked for. */
    public boolean isHedged() {
        return hedges > 0;
    }

    /** Whether no instance was left when the last choice was made. */
    public boolean isExhausted() {
        return exhausted;
    }

    /** Notes that an instance did not take the call; it may still be the last resort. */
    public void recordRefusal(String instanceId) {
        refusedBy.add(instanceId);
    }

    /** Notes that an instance had the call or can never take it. */
    public void exclude(String instanceId) {
        excluded.add(instanceId);
    }
}
