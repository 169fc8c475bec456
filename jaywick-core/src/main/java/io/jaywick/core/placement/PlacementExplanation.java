package io.jaywick.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.jaywick.core.fleet.FleetView;
import io.jaywick.core.fleet.Instance;

/**
 * Explains where the first attempt of a call would go now. The order, the exclusions and the choice come from the code
 * that places calls, so that they cannot differ from it, except for the random order of instances that are equal.
 *
 * @param first choice for the first attempt, or null when the call would be refused
 * @param instances all listed instances of the service: first the eligible ones in their order, then the others by id
 */
public record PlacementExplanation(AttemptPlan.Choice first, List<Row> instances) {

    /**
     * One instance of the service.
     *
     * @param rank position in the order of attempts, from 1; 0 for an instance that is left out
     * @param exclusion reason why it is left out, or null
     * @param reportedMillis reported time until the answer of an average call, reduced by the age of the report
     * @param inFlight attempts of this node in flight at the instance
     * @param scoreMillis score by which instances at the same distance are ranked while no service time of the route is known
     * @param expectedMillis expected time by which they are ranked now, with its random part
     * @param serviceMillis learned service time of the route, or -1 when it is unknown
     * @param concurrencyLimit calls that the instance runs at once, as its node reported, or its slots
     * @param waitMillis reported wait of a call of the route, reduced by the age of the report
     * @param avoidedMillis time for which it is still ranked last, because it failed or refused for good; 0 if it is not
     * @param superseded whether it is ranked last, because a later start is listed at its address
     * @param regionBackoffMillis time for which its region gets no trial attempt of the route, because it refused
     * @param isTrialCandidate whether it may receive a trial attempt; otherwise only a last-resort attempt
     */
    public record Row(
            Instance instance,
            Distance distance,
            int rank,
            Exclusion exclusion,
            double reportedMillis,
            int inFlight,
            double scoreMillis,
            double expectedMillis,
            double serviceMillis,
            double concurrencyLimit,
            double waitMillis,
            long avoidedMillis,
            boolean superseded,
            long regionBackoffMillis,
            boolean isTrialCandidate) {}

    /**
     * Explains the placement of a call that arrives now.
     *
     * @param homeRegions regions in which the call may be processed; empty means any
     * @param objectiveMillis time until the latency objective
     * @param timeoutMillis time until the deadline
     */
    public static PlacementExplanation of(
            InstanceSelector selector,
            FleetView view,
            String service,
            String route,
            Set<String> homeRegions,
            long objectiveMillis,
            long timeoutMillis) {
        AttemptPlan plan = new AttemptPlan(selector, () -> view, service, route, homeRegions);
        AttemptPlan.Choice first = plan.nextAttempt(objectiveMillis, timeoutMillis);
        List<Row> rows = new ArrayList<>();
        Set<String> rankedIds = new HashSet<>();
        for (RankedInstance ranked : plan.ranking()) {
            rankedIds.add(ranked.instance().id());
            rows.add(row(selector, ranked, rows.size() + 1, null, route, objectiveMillis));
        }
        List<Instance> others = new ArrayList<>(view.instancesOf(service));
        others.removeIf(instance -> rankedIds.contains(instance.id()));
        others.sort(Comparator.comparing(Instance::id));
        for (Instance instance : others) {
            Exclusion exclusion = selector.exclusionOf(view, instance, homeRegions);
            rows.add(row(selector, selector.ranked(view, instance), 0, exclusion, route, objectiveMillis));
        }
        return new PlacementExplanation(first, List.copyOf(rows));
    }

    private static Row row(
            InstanceSelector selector,
            RankedInstance ranked,
            int rank,
            Exclusion exclusion,
            String route,
            long objectiveMillis) {
        Instance instance = ranked.instance();
        return new Row(
                instance,
                ranked.distance(),
                rank,
                exclusion,
                ranked.score().reportedMillis(),
                ranked.score().inFlight(),
                ranked.score().millis(),
                ranked.expectedMillis(),
                selector.serviceMillis(instance, route),
                selector.concurrencyLimit(instance),
                selector.waitMillis(instance, route),
                selector.avoidedMillis(instance),
                ranked.superseded(),
                selector.regionBackoffMillis(instance, route),
                exclusion == null && selector.canAnswerWithin(instance, route, objectiveMillis));
    }
}
