package io.jaywick.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

import io.jaywick.core.fleet.FleetView;
import io.jaywick.core.fleet.Instance;

/**
 * Orders the instances of a service for one call: nearest first, because bytes between data centres are paid for, and
 * among equally near ones the least loaded first. Instances that leave, whose data centre is evacuated or whose region
 * is no home of the call are never named. Not thread-safe.
 */
public final class InstanceSelector {

    /**
     * A call goes to another data centre or region as a last resort only if it is answered there this much sooner, because
     * its bytes are paid for. The figures are four and eight round trips of the links that users have.
     */
    private static final double OTHER_DATA_CENTRE_PENALTY_MILLIS = 12;

    private static final double OTHER_REGION_PENALTY_MILLIS = 200;

    private final String host;
    private final String dataCentre;
    private final String region;
    private final Map<String, String> regionByDataCentre;
    private final LongSupplier nanoTime;
    private final RandomGenerator random;
    private final Map<String, InstanceLoad> loadById = new HashMap<>();
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
     * Whether it makes sense to ask an instance if it can meet the objective of a call: it has not reported lately that
     * the call would wait longer, and its region had room for the route.
     */
    public boolean canAnswerWithin(Instance instance, String route, long withinMillis) {
        long now = nanoTime.getAsLong();
        return withinMillis > 0
                && load(instance.id()).waitMillis(now) <= withinMillis
                && (distance(instance) != Distance.OTHER_REGION
                        || !regionBackoff.isBackingOff(region(instance), instance.service(), route, now));
    }

    /** Notes that an instance had no room for a call that it was asked to take. */
    public void recordSaturated(Instance instance, String route) {
        if (distance(instance) == Distance.OTHER_REGION) {
            regionBackoff.recordRefusal(region(instance), instance.service(), route, nanoTime.getAsLong());
        }
    }

    /** Notes that an instance took a call. */
    public void recordAccepted(Instance instance, String route) {
        if (distance(instance) == Distance.OTHER_REGION) {
            regionBackoff.reset(region(instance), instance.service(), route);
        }
    }

    private String region(Instance instance) {
        return regionByDataCentre.getOrDefault(instance.dataCentre(), "");
    }

    /** Milliseconds until a call that is sent now gets to the target of an instance, as far as reports tell. */
    double waitMillis(Instance instance) {
        return load(instance.id()).waitMillis(nanoTime.getAsLong());
    }

    private record ScoredInstance(Instance instance, Distance distance, boolean unreliable, double score) {}

    /**
     * Returns the instances that may take a call, in the order in which they are asked. Instances that failed lately
     * come last.
     *
     * @param homeRegions regions in which the call may be processed; empty means any
     */
    public List<Instance> rank(FleetView view, String service, Set<String> homeRegions) {
        long now = nanoTime.getAsLong();
        List<ScoredInstance> scored = new ArrayList<>();
        for (Instance instance : view.instancesOf(service)) {
            if (isEligible(view, instance, homeRegions)) {
                InstanceLoad load = load(instance.id());
                scored.add(new ScoredInstance(
                        instance,
                        distance(instance),
                        load.isAvoided(now) || view.isSuperseded(instance),
                        load.score(now) + random.nextDouble()));
            }
        }
        scored.sort((a, b) -> {
            int comparison = Boolean.compare(a.unreliable, b.unreliable);
            comparison = comparison != 0 ? comparison : a.distance.compareTo(b.distance);
            return comparison != 0 ? comparison : Double.compare(a.score, b.score);
        });
        List<Instance> ranked = new ArrayList<>(scored.size());
        for (ScoredInstance entry : scored) {
            ranked.add(entry.instance);
        }
        return ranked;
    }

    long nowNanos() {
        return nanoTime.getAsLong();
    }

    /** Whether an instance may take new calls. */
    public boolean isEligible(FleetView view, Instance instance, Set<String> homeRegions) {
        return !instance.draining()
                && !view.isEvacuated(instance.dataCentre())
                && (homeRegions.isEmpty() || homeRegions.contains(regionByDataCentre.get(instance.dataCentre())));
    }

    public Distance distance(Instance instance) {
        if (instance.host().equals(host)) {
            return Distance.SAME_INSTANCE;
        }
        if (instance.dataCentre().equals(dataCentre)) {
            return Distance.SAME_DATA_CENTRE;
        }
        return region.equals(regionByDataCentre.get(instance.dataCentre()))
                ? Distance.SAME_REGION
                : Distance.OTHER_REGION;
    }

    /**
     * Chooses the instance that takes a call which no instance can answer within its objective: the one that is expected
     * to answer first. Those that failed lately or were superseded get it only when there is no other.
     *
     * @return null when there are no candidates
     */
    public Instance chooseLastResort(FleetView view, List<Instance> candidates) {
        long now = nanoTime.getAsLong();
        Instance best = null;
        boolean bestUnreliable = false;
        double bestMillis = 0;
        for (Instance instance : candidates) {
            InstanceLoad load = load(instance.id());
            boolean unreliable = load.isAvoided(now) || view.isSuperseded(instance);
            double millis = load.score(now) + distancePenaltyMillis(instance);
            if (best == null || (unreliable == bestUnreliable ? millis < bestMillis : bestUnreliable)) {
                best = instance;
                bestUnreliable = unreliable;
                bestMillis = millis;
            }
        }
        return best;
    }

    private double distancePenaltyMillis(Instance instance) {
        return switch (distance(instance)) {
            case SAME_INSTANCE, SAME_DATA_CENTRE -> 0;
            case SAME_REGION -> OTHER_DATA_CENTRE_PENALTY_MILLIS;
            case OTHER_REGION -> OTHER_REGION_PENALTY_MILLIS;
        };
    }

    public void recordAttemptStart(String instanceId) {
        load(instanceId).recordAttemptStart();
    }

    public void recordAttemptEnd(String instanceId) {
        load(instanceId).recordAttemptEnd();
    }

    /**
     * Notes what the node beside an instance reported with an answer or a refusal.
     *
     * @param expectedMillis time until the answer of an average call
     * @param waitMillis part of it before the target gets the call
     */
    public void recordLoad(String instanceId, long expectedMillis, long waitMillis) {
        load(instanceId).recordReport(expectedMillis, waitMillis, nanoTime.getAsLong());
    }

    public void recordSuccess(String instanceId) {
        load(instanceId).recordSuccess();
    }

    /** Notes that an instance could not be reached or lost a call. */
    public void recordFailure(String instanceId) {
        load(instanceId).recordFailure(nanoTime.getAsLong());
    }

    /** Leaves an instance out for a time. */
    public void avoid(String instanceId, long millis) {
        load(instanceId).avoid(millis, nanoTime.getAsLong());
    }

    /** Forgets the instances that are no longer listed. */
    public void retain(Collection<String> instanceIds) {
        loadById.keySet().retainAll(instanceIds);
    }

    private InstanceLoad load(String instanceId) {
        return loadById.computeIfAbsent(instanceId, id -> new InstanceLoad());
    }
}
