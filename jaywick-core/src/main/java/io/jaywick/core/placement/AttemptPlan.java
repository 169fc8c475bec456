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
    private static final int MAX_TRIAL_ATTEMPTS = 4;

    /** Instances that are asked to take a call that meets its objective nowhere. */
    private static final int MAX_LAST_RESORT_ATTEMPTS = 2;

    /** Instances that are asked to take a hedge; each of them may refuse it. */
    private static final int MAX_HEDGE_ATTEMPTS = 2;

    /** Half of the time within which a report of load loses half of its weight. */
    private static final long MAX_RANKING_AGE_NANOS = 100_000_000;

    private final InstanceSelector selector;
    private final Supplier<FleetView> fleet;
    private final String service;
    private final String route;
    private final Set<String> homeRegions;
    private final Set<String> refusedBy = new HashSet<>();
    private final Set<String> lastResorts = new HashSet<>();
    private final Set<String> excluded = new HashSet<>();
    private final Set<String> attempted = new HashSet<>();
    private int trialAttempts;
    private int hedgeAttempts;
    private List<Instance> ranked = List.of();
    private FleetView rankedView;
    private long rankedNanos;
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
            InstanceSelector selector,
            Supplier<FleetView> fleet,
            String service,
            String route,
            Set<String> homeRegions) {
        this.selector = selector;
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
        List<Instance> candidates = candidates();
        exhausted = candidates.isEmpty();
        if (trialAttempts < MAX_TRIAL_ATTEMPTS) {
            for (Instance instance : candidates) {
                if (!refusedBy.contains(instance.id()) && selector.canAnswerWithin(instance, route, objectiveMillis)) {
                    trialAttempts++;
                    return choose(instance, AttemptPurpose.TRIAL);
                }
            }
        }
        candidates.removeIf(instance -> lastResorts.contains(instance.id()));
        // A call that can be answered nowhere in time is refused at once, and its caller is told when to come back.
        candidates.removeIf(instance -> isTooLate(instance, remainingMillis));
        Instance lastResort = selector.chooseLastResort(fleet.get(), candidates);
        if (lastResort == null || lastResorts.size() >= MAX_LAST_RESORT_ATTEMPTS) {
            return null;
        }
        lastResorts.add(lastResort.id());
        return choose(lastResort, AttemptPurpose.LAST_RESORT);
    }

    private boolean isTooLate(Instance instance, long remainingMillis) {
        double waitMillis = selector.waitMillis(instance);
        if (waitMillis <= remainingMillis) {
            return false;
        }
        minWaitMillis = minWaitMillis < 0 ? (long) waitMillis : Math.min(minWaitMillis, (long) waitMillis);
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
        if (hedgeAttempts >= MAX_HEDGE_ATTEMPTS) {
            return null;
        }
        for (Instance instance : candidates()) {
            if (!refusedBy.contains(instance.id())
                    && !attempted.contains(instance.id())
                    && selector.canAnswerWithin(instance, route, remainingMillis)) {
                hedgeAttempts++;
                return choose(instance, AttemptPurpose.HEDGE);
            }
        }
        return null;
    }

    /** Refusals follow each other within milliseconds; in that time the order of the instances hardly changes. */
    private List<Instance> candidates() {
        FleetView view = fleet.get();
        long now = selector.nowNanos();
        if (view != rankedView || now - rankedNanos > MAX_RANKING_AGE_NANOS) {
            ranked = selector.rank(view, service, homeRegions);
            rankedView = view;
            rankedNanos = now;
        }
        List<Instance> candidates = new ArrayList<>(ranked);
        candidates.removeIf(instance -> excluded.contains(instance.id()));
        return candidates;
    }

    private Choice choose(Instance instance, AttemptPurpose purpose) {
        attempted.add(instance.id());
        return new Choice(instance, purpose);
    }

    /** Whether a hedge was asked for. */
    public boolean isHedged() {
        return hedgeAttempts > 0;
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
