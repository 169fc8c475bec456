package io.jaywick.core.placement;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import io.jaywick.core.fleet.FleetView;
import io.jaywick.core.fleet.Instance;
import io.jaywick.core.rules.RuleSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

class PlacementExplanationTestCase {

    private static final String ROUTE = "route";
    private static final long OBJECTIVE_MILLIS = 300;
    private static final long TIMEOUT_MILLIS = 1_000;
    private static final Map<String, String> REGIONS = Map.of("a1", "a", "a2", "a", "b1", "b");
    private static final List<String> DATA_CENTRES = List.of("a1", "a2", "b1");

    private final AtomicLong nanos = new AtomicLong();

    private InstanceSelector selector(Random random) {
        return new InstanceSelector("10.0.0.0", "a1", "a", REGIONS, nanos::get, random);
    }

    private static Instance instance(int number, String dataCentre, boolean draining) {
        return new Instance("i-" + number, "s", "10.0.0." + number + ":80", dataCentre, "v1", 4, draining, 0, 1, 0, 0);
    }

    private static PlacementExplanation explain(InstanceSelector selector, FleetView view, Set<String> homeRegions) {
        return PlacementExplanation.of(selector, view, "s", ROUTE, homeRegions, OBJECTIVE_MILLIS, TIMEOUT_MILLIS);
    }

    private static PlacementExplanation.Row row(PlacementExplanation explanation, int number) {
        return explanation.instances().stream()
                .filter(row -> row.instance().id().equals("i-" + number))
                .findFirst()
                .orElseThrow();
    }

    /** Guards against an explanation that names another order, another exclusion or another choice than calls get. */
    @Property(tries = 200, seed = "20261207")
    void explanationEqualsThePlacementOfACall(@ForAll Random random) {
        long seed = random.nextLong();
        InstanceSelector placing = selector(new Random(seed));
        InstanceSelector explaining = selector(new Random(seed));
        Instance[] instances = new Instance[10];
        for (int i = 0; i < instances.length; i++) {
            instances[i] = instance(i, DATA_CENTRES.get(random.nextInt(3)), random.nextInt(8) == 0);
        }
        for (int i = 0; i < 20; i++) {
            Instance changed = instances[random.nextInt(instances.length)];
            Consumer<InstanceSelector> change =
                    switch (random.nextInt(5)) {
                        case 0 -> selector -> selector.recordFailure(changed.id());
                        case 1 -> selector -> selector.recordAttemptStart(changed.id());
                        case 2 -> selector -> selector.recordSaturated(changed, ROUTE);
                        case 3 -> {
                            long millis = random.nextInt(2_000);
                            yield selector -> selector.recordLoad(changed.id(), ROUTE, millis, millis);
                        }
                        default -> random.nextInt(4) == 0
                                ? selector -> selector.recordLeaving(changed)
                                : selector -> selector.recordSuccess(changed.id());
                    };
            change.accept(placing);
            change.accept(explaining);
            nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(random.nextInt(100)));
        }
        FleetView view =
                new FleetView(RuleSet.EMPTY, List.of(instances), random.nextInt(4) == 0 ? Set.of("a2") : Set.of());
        Set<String> homeRegions = random.nextInt(3) == 0 ? Set.of("a") : Set.of();
        AttemptPlan.Choice placed = new AttemptPlan(placing, () -> view, "s", ROUTE, homeRegions)
                .nextAttempt(OBJECTIVE_MILLIS, TIMEOUT_MILLIS);
        PlacementExplanation explanation = explain(explaining, view, homeRegions);
        assertThat(explanation.first(), is(placed));
        assertThat(
                explanation.instances().stream()
                        .map(PlacementExplanation.Row::instance)
                        .toList(),
                containsInAnyOrder(instances));
        for (PlacementExplanation.Row row : explanation.instances()) {
            assertThat(row.exclusion() == null, is(placing.isEligible(view, row.instance(), homeRegions)));
            assertThat(row.rank() > 0, is(row.exclusion() == null));
        }
    }

    /** Guards against reasons that do not name what keeps an instance from calls. */
    @Test
    void namesWhyAnInstanceGetsNoCallsOrLateOnes() {
        InstanceSelector selector = selector(new Random(1));
        Instance leaving = instance(2, "a1", false);
        selector.recordLeaving(leaving);
        Instance far = instance(4, "b1", false);
        selector.recordSaturated(far, ROUTE);
        selector.recordFailure("i-5");
        selector.recordLoad("i-6", ROUTE, 40, 400);
        selector.recordAttemptStart("i-6");
        FleetView view = new FleetView(
                RuleSet.EMPTY,
                List.of(
                        instance(1, "a1", true),
                        leaving,
                        instance(3, "a2", false),
                        far,
                        instance(5, "a1", false),
                        instance(6, "a1", false)),
                Set.of("a2"));
        PlacementExplanation explanation = explain(selector, view, Set.of());
        assertThat(row(explanation, 1).exclusion(), is(Exclusion.DRAINING));
        assertThat(row(explanation, 2).exclusion(), is(Exclusion.LEAVING));
        assertThat(row(explanation, 3).exclusion(), is(Exclusion.EVACUATED));
        assertThat(row(explanation, 4).exclusion(), nullValue());
        assertThat(row(explanation, 4).regionBackoffMillis() > 0, is(true));
        assertThat(row(explanation, 4).isTrialCandidate(), is(false));
        assertThat(row(explanation, 5).avoidedMillis(), is(100L));
        assertThat(row(explanation, 5).rank(), is(3));
        assertThat(row(explanation, 6).scoreMillis(), is(41.0));
        assertThat(row(explanation, 6).waitMillis(), is(400.0));
        assertThat(row(explanation, 6).isTrialCandidate(), is(false));
        assertThat(explanation.first().instance().id(), is("i-5"));
        assertThat(row(explain(selector, view, Set.of("a")), 4).exclusion(), is(Exclusion.OTHER_REGION));
    }
}
