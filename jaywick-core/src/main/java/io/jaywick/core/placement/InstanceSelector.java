package io.jaywick.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.ToDoubleBiFunction;
import java.util.random.RandomGenerator;

import io.jaywick.core.fleet.FleetView;
import io.jaywick.core.fleet.Instance;

/**
 * Ranks the instances of a service for one call: nearest first, because traffic between data centres is paid for, and
 * least loaded first among instances at the same distance. Instances that drain or have stated that they leave, instances
 * in evacuated data centres and instances outside the home regions of the call are left out. Not thread-safe.
 */
public final class InstanceSelector {

    /**
     * A last-resort attempt is made in another data centre only if its answer is expected sooner by this much, because
     * that traffic is paid for. For another region see {@link CallTimes}.
     */
    private static final double OTHER_DATA_CENTRE_PENALTY_MILLIS = 12;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final String host;
    private final String dataCentre;
    private final String region;
    private final Map<String, String> regionByDataCentre;
    private final LongSupplier nanoTime;
    private final RandomGenerator random;
    private final Map<String, InstanceLoad> loadById = new HashMap<>();
    private final Map<String, Long> startMillisOfLeavingById = new HashMap<>();
    private final RegionBackoff regionBackoff;

    public InstanceSelector(
            String host,
            String dataCentre,
            String region,
            Map<String, String> regionByDataCentre,
            LongSupplier nanoTime,
            RandomGenerator random) {
        this.host = host;
        this.dataCentre = dataCentre;
        this.region = region;
        this.regionByDataCentre = regionByDataCentre;
        this.nanoTime = nanoTime;
        this.random = random;
        this.regionBackoff = new RegionBackoff(random);
    }

    /**
     * Returns whether an instance may answer a call within the given time: its recently reported wait is not longer,
     * and there is no back-off from its region for the route.
     */
    public boolean canAnswerWithin(Instance instance, String route, long withinMillis) {
        long now = nanoTime.getAsLong();
        return withinMillis > 0
                && load(instance.id()).waitMillis(route, now) <= withinMillis
                && !isBackingOff(instance, route, now);
    }

    private boolean isBackingOff(Instance instance, String route, long now) {
        return distance(instance) == Distance.OTHER_REGION
                && regionBackoff.isBackingOff(region(instance), instance.service(), route, now);
    }

    /** Records that an instance refused a call because it was at capacity; in another region this starts a back-off. */
    public void recordSaturated(Instance instance, String route) {
        if (distance(instance) == Distance.OTHER_REGION) {
            regionBackoff.recordRefusal(region(instance), instance.service(), route, nanoTime.getAsLong());
        }
    }

    /** Records that an instance accepted a call; in another region this ends the back-off. */
    public void recordAccepted(Instance instance, String route) {
        if (distance(instance) == Distance.OTHER_REGION) {
            regionBackoff.reset(region(instance), instance.service(), route);
        }
    }

    /** Returns the region of an instance, empty if the settings do not name its data centre. */
    private String region(Instance instance) {
        return regionByDataCentre.getOrDefault(instance.dataCentre(), "");
    }

    /**
     * Returns the wait in milliseconds until a call of the route that is sent now reaches the target of an instance,
     * estimated from reports.
     */
    double waitMillis(Instance instance, String route) {
        return load(instance.id()).waitMillis(route, nanoTime.getAsLong());
    }

    /**
     * Returns the eligible instances in the order in which they are attempted, ranked by their reported load only.
     *
     * @param homeRegions regions in which the call may be processed; empty means any
     */
    public List<Instance> rank(FleetView view, String service, Set<String> homeRegions) {
        return rankWithScores(view, service, homeRegions, this::rankByLoad).stream()
                .map(RankedInstance::instance)
                .toList();
    }

    /**
     * Returns the eligible instances in the order in which they are attempted. Instances that failed recently or were
     * superseded come last, and nearer ones come first. At the same distance they are ranked by the expected time until
     * the answer to a call of the route, if the service time of the route is known of any of them.
     *
     * @param homeRegions regions in which the call may be processed; empty means any
     */
    List<RankedInstance> rankWithScores(FleetView view, String service, String route, Set<String> homeRegions) {
        long now = nanoTime.getAsLong();
        ExpectedTimes expectedTimes = ExpectedTimes.of(view.instancesOf(service), route, this::load, now);
        return rankWithScores(
                view,
                service,
                homeRegions,
                expectedTimes == null
                        ? this::rankByLoad
                        : (instance, load) -> expectedTimes.draw(load, instance.slots(), now, random.nextDouble()));
    }

    private double rankByLoad(Instance instance, InstanceLoad load) {
        return load.score(nanoTime.getAsLong()).millis() + random.nextDouble();
    }

    private List<RankedInstance> rankWithScores(
            FleetView view,
            String service,
            Set<String> homeRegions,
            ToDoubleBiFunction<Instance, InstanceLoad> expectedMillis) {
        List<RankedInstance> ranked = new ArrayList<>();
        for (Instance instance : view.instancesOf(service)) {
            if (isEligible(view, instance, homeRegions)) {
                ranked.add(ranked(view, instance, expectedMillis.applyAsDouble(instance, load(instance.id()))));
            }
        }
        ranked.sort(null);
        return ranked;
    }

    /** Returns the values by which an instance is ranked, whether it is eligible or not. */
    RankedInstance ranked(FleetView view, Instance instance) {
        return ranked(view, instance, rankByLoad(instance, load(instance.id())));
    }

    private RankedInstance ranked(FleetView view, Instance instance, double expectedMillis) {
        long now = nanoTime.getAsLong();
        InstanceLoad load = load(instance.id());
        return new RankedInstance(
                instance,
                distance(instance),
                load.isAvoided(now),
                view.isSuperseded(instance),
                load.score(now),
                expectedMillis);
    }

    /** Returns the milliseconds for which an instance is still ranked last, 0 when it is not. */
    long avoidedMillis(Instance instance) {
        return toMillisRoundedUp(load(instance.id()).avoidedNanos(nanoTime.getAsLong()));
    }

    /** Returns the milliseconds for which the region of an instance gets no trial attempts of a route. */
    long regionBackoffMillis(Instance instance, String route) {
        return distance(instance) == Distance.OTHER_REGION
                ? toMillisRoundedUp(
                        regionBackoff.remainingNanos(region(instance), instance.service(), route, nanoTime.getAsLong()))
                : 0;
    }

    private static long toMillisRoundedUp(long nanos) {
        return (nanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI;
    }

    /** Returns the learned service time of a route at an instance in milliseconds, or -1 when it is unknown. */
    double serviceMillis(Instance instance, String route) {
        double millis = load(instance.id()).serviceMillis(route, nanoTime.getAsLong());
        return Double.isNaN(millis) ? -1 : millis;
    }

    double concurrencyLimit(Instance instance) {
        return load(instance.id()).concurrencyLimit(instance.slots());
    }

    long nowNanos() {
        return nanoTime.getAsLong();
    }

    /** Records that an instance has stated that it leaves; it receives no further calls until its next start. */
    public void recordLeaving(Instance instance) {
        startMillisOfLeavingById.put(instance.id(), instance.startMillis());
    }

    /** Returns whether an instance has stated that it leaves. */
    boolean isLeaving(Instance instance) {
        Long startMillis = startMillisOfLeavingById.get(instance.id());
        return startMillis != null && startMillis == instance.startMillis();
    }

    /** Returns whether an instance may receive new calls. */
    public boolean isEligible(FleetView view, Instance instance, Set<String> homeRegions) {
        return exclusionOf(view, instance, homeRegions) == null;
    }

    /** Returns why an instance may not receive new calls, or null if it may. */
    Exclusion exclusionOf(FleetView view, Instance instance, Set<String> homeRegions) {
        if (instance.draining()) {
            return Exclusion.DRAINING;
        }
        if (isLeaving(instance)) {
            return Exclusion.LEAVING;
        }
        if (view.isEvacuated(instance.dataCentre())) {
            return Exclusion.EVACUATED;
        }
        boolean isHome = homeRegions.isEmpty() || homeRegions.contains(region(instance));
        return isHome ? null : Exclusion.OTHER_REGION;
    }

    public Distance distance(Instance instance) {
        if (instance.host().equals(host)) {
            return Distance.SAME_INSTANCE;
        }
        if (instance.dataCentre().equals(dataCentre)) {
            return Distance.SAME_DATA_CENTRE;
        }
        return region.equals(region(instance)) ? Distance.SAME_REGION : Distance.OTHER_REGION;
    }

    /**
     * Chooses the candidate that is expected to answer first, for a call that no instance can answer within its
     * objective. Instances that failed recently or were superseded are chosen only when there is no other.
     *
     * @return null when there are no candidates
     */
    Instance chooseLastResort(FleetView view, List<Instance> candidates, String route, CallTimes times) {
        long now = nanoTime.getAsLong();
        double ownRegionMillis = ownRegionMillis(view, candidates, now);
        Instance best = null;
        boolean bestUnreliable = false;
        double bestMillis = 0;
        for (Instance instance : candidates) {
            InstanceLoad load = load(instance.id());
            double score = load.score(now).millis();
            boolean unreliable = isUnreliable(view, instance, now);
            double millis = score + distancePenaltyMillis(instance, score, ownRegionMillis, route, times);
            if (best == null || (unreliable == bestUnreliable ? millis < bestMillis : bestUnreliable)) {
                best = instance;
                bestUnreliable = unreliable;
                bestMillis = millis;
            }
        }
        return best;
    }

    /** Returns the shortest expected time until an answer in the own region, or infinity without a usable instance. */
    private double ownRegionMillis(FleetView view, List<Instance> candidates, long now) {
        double shortest = Double.POSITIVE_INFINITY;
        for (Instance instance : candidates) {
            if (distance(instance) != Distance.OTHER_REGION && !isUnreliable(view, instance, now)) {
                shortest = Math.min(shortest, load(instance.id()).score(now).millis());
            }
        }
        return shortest;
    }

    private boolean isUnreliable(FleetView view, Instance instance, long now) {
        return load(instance.id()).isAvoided(now) || view.isSuperseded(instance);
    }

    private double distancePenaltyMillis(
            Instance instance, double expectedMillis, double ownRegionMillis, String route, CallTimes times) {
        return switch (distance(instance)) {
            case SAME_INSTANCE, SAME_DATA_CENTRE -> 0;
            case SAME_REGION -> OTHER_DATA_CENTRE_PENALTY_MILLIS;
            case OTHER_REGION -> otherRegionPenaltyMillis(instance, expectedMillis, ownRegionMillis, route, times);
        };
    }

    /**
     * A region that has just refused calls of the route would answer late as well, whatever it reported last, and the
     * call would displace calls of that region.
     */
    private double otherRegionPenaltyMillis(
            Instance instance, double expectedMillis, double ownRegionMillis, String route, CallTimes times) {
        return isBackingOff(instance, route, nanoTime.getAsLong())
                ? CallTimes.MAX_PENALTY_MILLIS
                : times.otherRegionPenaltyMillis(ownRegionMillis, expectedMillis);
    }

    public void recordAttemptStart(String instanceId) {
        load(instanceId).recordAttemptStart();
    }

    public void recordAttemptEnd(String instanceId) {
        load(instanceId).recordAttemptEnd();
    }

    /**
     * Records the load that the node next to an instance reported with an answer or a refusal.
     *
     * @param expectedMillis expected time until the answer of an average call
     * @param waitMillis expected wait of a call of the route before the target receives it
     */
    public void recordLoad(String instanceId, String route, long expectedMillis, long waitMillis) {
        load(instanceId).recordReport(route, expectedMillis, waitMillis, nanoTime.getAsLong());
    }

    /**
     * Records the learned capacity that the node next to an instance reported.
     *
     * @param serviceMillis expected service time of the route, -1 when unknown
     * @param concurrencyLimit calls that the target runs concurrently, -1 when unknown
     */
    public void recordCapacity(String instanceId, String route, long serviceMillis, long concurrencyLimit) {
        load(instanceId).recordCapacity(route, serviceMillis, concurrencyLimit, nanoTime.getAsLong());
    }

    public void recordSuccess(String instanceId) {
        load(instanceId).recordSuccess();
    }

    /** Records that an instance could not be reached or lost a call. */
    public void recordFailure(String instanceId) {
        load(instanceId).recordFailure(nanoTime.getAsLong());
    }

    /** Ranks an instance last for the given time. */
    public void avoid(String instanceId, long millis) {
        load(instanceId).avoid(millis, nanoTime.getAsLong());
    }

    /** Discards the load and the statements of all instances other than the given ones. */
    public void retain(Collection<String> instanceIds) {
        loadById.keySet().retainAll(instanceIds);
        startMillisOfLeavingById.keySet().retainAll(instanceIds);
    }

    private InstanceLoad load(String instanceId) {
        return loadById.computeIfAbsent(instanceId, id -> new InstanceLoad());
    }
}
