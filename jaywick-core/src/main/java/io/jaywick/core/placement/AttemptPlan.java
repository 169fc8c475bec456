package io.jaywick.core.placement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

import io.jaywick.core.fleet.FleetView;
import io.jaywick.core.fleet.Instance;

/**
 * Chooses the instance for each attempt of one call: trial attempts at the nearest instances come first, then
 * last-resort attempts at the instances that are expected to answer first. An excluded instance, for example one that
 * has already received the call, is never chosen. Not thread-safe.
 */
public final class AttemptPlan {

    /** Bounded because each refused trial attempt costs a round trip. */
    private static final int MAX_TRIAL_ATTEMPTS = 4;

    /** Last-resort attempts of a call that no instance can answer within its latency objective. */
    private static final int MAX_LAST_RESORT_ATTEMPTS = 2;

    /** More than one, because an instance may refuse a hedge. */
    private static final int MAX_HEDGE_ATTEMPTS = 2;

    /** Half of the half-life of a load report, see {@link InstanceLoad}. */
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
    private long deadlineMillis = -1;
    private int hedgeAttempts;
    private List<RankedInstance> ranked = List.of();
    private FleetView rankedView;
    private long rankedNanos;
    private boolean exhausted;
    private long minWaitMillis = -1;

    /** An instance and the purpose of the attempt at it. */
    public record Choice(Instance instance, AttemptPurpose purpose) {}

    /**
     * Creates the plan of a call before its first attempt.
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
     * Chooses the instance of the next attempt. Returns null when the attempts are used up, no instance remains or none
     * is expected to answer before the deadline.
     *
     * @param objectiveMillis remaining time until the latency objective
     * @param remainingMillis remaining time until the deadline
     */
    public Choice nextAttempt(long objectiveMillis, long remainingMillis) {
        deadlineMillis = Math.max(deadlineMillis, remainingMillis);
        CallTimes times = new CallTimes(deadlineMillis, objectiveMillis, remainingMillis);
        List<Instance> candidates = candidates();
        exhausted = candidates.isEmpty();
        if (times.isShort() && trialAttempts == MAX_TRIAL_ATTEMPTS - 1 && hasOwnRegionRefusedTrials(candidates)) {
            long objectiveThereMillis = objectiveMillis - (long) CallTimes.OTHER_REGION_COST_MILLIS;
            for (Instance instance : candidates) {
                if (selector.distance(instance) == Distance.OTHER_REGION
                        && selector.canAnswerWithin(instance, route, objectiveThereMillis)) {
                    trialAttempts++;
                    return choose(instance, AttemptPurpose.TRIAL);
                }
            }
        }
        if (trialAttempts < MAX_TRIAL_ATTEMPTS) {
            for (Instance instance : candidates) {
                if (!refusedBy.contains(instance.id()) && selector.canAnswerWithin(instance, route, objectiveMillis)) {
                    trialAttempts++;
                    return choose(instance, AttemptPurpose.TRIAL);
                }
            }
        }
        candidates.removeIf(instance -> lastResorts.contains(instance.id()));
        // A call that no instance can answer in time is refused at once, and the caller receives a retry time.
        candidates.removeIf(instance -> isTooLate(instance, remainingMillis));
        Instance lastResort = selector.chooseLastResort(fleet.get(), candidates, route, times);
        if (lastResort == null || lastResorts.size() >= MAX_LAST_RESORT_ATTEMPTS) {
            return null;
        }
        lastResorts.add(lastResort.id());
        return choose(lastResort, AttemptPurpose.LAST_RESORT);
    }

    /**
     * Whether every trial attempt was refused for lack of capacity in the own region. Instances that refused for another
     * reason, or have received the call, are excluded and therefore no candidates.
     */
    private boolean hasOwnRegionRefusedTrials(List<Instance> candidates) {
        long refusals = candidates.stream()
                .filter(instance ->
                        refusedBy.contains(instance.id()) && selector.distance(instance) != Distance.OTHER_REGION)
                .count();
        return refusals >= trialAttempts;
    }

    private boolean isTooLate(Instance instance, long remainingMillis) {
        double waitMillis = selector.waitMillis(instance, route);
        if (waitMillis <= remainingMillis) {
            return false;
        }
        minWaitMillis = minWaitMillis < 0 ? (long) waitMillis : Math.min(minWaitMillis, (long) waitMillis);
        return true;
    }

    /**
     * Returns the shortest wait among the instances that were skipped because their wait exceeds the remaining time, in
     * milliseconds, or -1 when none was skipped.
     */
    public long minWaitMillis() {
        return minWaitMillis;
    }

    /**
     * Chooses the instance of a hedge attempt. Returns null when there is none or the hedge attempts are used up.
     *
     * @param remainingMillis remaining time until the deadline
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

    /** Reuses a recent ranking: refusals follow each other within milliseconds, in which the ranking hardly changes. */
    private List<Instance> candidates() {
        FleetView view = fleet.get();
        long now = selector.nowNanos();
        if (view != rankedView || now - rankedNanos > MAX_RANKING_AGE_NANOS) {
            ranked = selector.rankWithScores(view, service, route, homeRegions);
            rankedView = view;
            rankedNanos = now;
        }
        List<Instance> candidates = new ArrayList<>(ranked.size());
        ranked.forEach(entry -> candidates.add(entry.instance()));
        candidates.removeIf(instance -> excluded.contains(instance.id()) || selector.isLeaving(instance));
        return candidates;
    }

    /** Returns the ranking from which the last choice was made. */
    List<RankedInstance> ranking() {
        return ranked;
    }

    private Choice choose(Instance instance, AttemptPurpose purpose) {
        attempted.add(instance.id());
        return new Choice(instance, purpose);
    }

    /** Returns whether an instance was chosen for a hedge attempt. */
    public boolean isHedged() {
        return hedgeAttempts > 0;
    }

    /**
     * Returns whether all eligible instances were excluded at the last call of {@link #nextAttempt}, or there was none.
     */
    public boolean isExhausted() {
        return exhausted;
    }

    /** Records that an instance refused the call; it may still be chosen for a last-resort attempt. */
    public void recordRefusal(String instanceId) {
        refusedBy.add(instanceId);
    }

    /** Excludes an instance that has received the call or can never accept it. */
    public void exclude(String instanceId) {
        excluded.add(instanceId);
    }
}
