package io.jaywick.core.placement;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.jaywick.core.fleet.FleetView;
import io.jaywick.core.fleet.Instance;
import io.jaywick.core.rules.RuleSet;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class LearnedRankingTestCase {

    private static final String ROUTE = "route";
    private static final int RANKINGS = 4_000;

    private final AtomicLong nanos = new AtomicLong();
    private final InstanceSelector selector = new InstanceSelector(
            "10.0.0.0", "a1", "a", Map.of("a1", "a", "a2", "a", "b1", "b"), nanos::get, new Random(7));
    private final FleetView view = new FleetView(
            RuleSet.EMPTY, List.of(instance("x", "10.0.0.1", "a1"), instance("y", "10.0.0.2", "a1")), Set.of());

    private static Instance instance(String id, String host, String dataCentre) {
        return new Instance(id, "s", host + ":80", dataCentre, "v1", 4, false, 0, 1, 0, 0);
    }

    private void report(String id, long waitMillis, long serviceMillis, long limit) {
        selector.recordLoad(id, ROUTE, waitMillis + serviceMillis, waitMillis);
        selector.recordCapacity(id, ROUTE, serviceMillis, limit);
    }

    /** Returns the fraction of the calls of the route for which an instance is ranked first. */
    private double share(String id) {
        int first = 0;
        for (int i = 0; i < RANKINGS; i++) {
            if (selector.rankWithScores(view, "s", ROUTE, Set.of())
                    .get(0)
                    .instance()
                    .id()
                    .equals(id)) {
                first++;
            }
        }
        return (double) first / RANKINGS;
    }

    private void pass(long millis) {
        nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
    }

    /** Guards against servers of different speed that get the same number of calls, so that the slow one is full. */
    @Test
    void fasterInstancesGetMostCalls() {
        report("x", 0, 30, 4);
        report("y", 0, 90, 4);
        assertThat(share("x"), closeTo(27.0 / 28, 0.03));
        pass(2_500);
        assertThat(share("x"), closeTo(27.0 / 28, 0.03));
    }

    /** Guards against a server with a lowered concurrency limit that gets as many calls as one with all its slots. */
    @Test
    void instancesGetCallsInProportionToTheirLimit() {
        report("x", 0, 30, 4);
        report("y", 0, 30, 2);
        assertThat(share("x"), closeTo(2.0 / 3, 0.03));
    }

    /** Guards against calls that queue at a fast server while a slower one is idle. */
    @Test
    void queueOutweighsSpeed() {
        report("x", 400, 30, 4);
        report("y", 0, 90, 4);
        assertThat(share("y"), greaterThan(0.95));
    }

    /** Guards against many calls of one node at once that all go to one server before it can report a wait. */
    @Test
    void callsInFlightCount() {
        report("x", 0, 30, 4);
        report("y", 0, 30, 4);
        for (int i = 0; i < 8; i++) {
            selector.recordAttemptStart("x");
        }
        assertThat(share("y"), greaterThan(0.9));
    }

    /** Guards against paid traffic to a faster server in another data centre or region. */
    @Test
    void distanceGoesFirst() {
        FleetView spread = new FleetView(
                RuleSet.EMPTY,
                List.of(
                        instance("far", "10.0.0.3", "b1"),
                        instance("region", "10.0.0.4", "a2"),
                        instance("centre", "10.0.0.5", "a1"),
                        instance("own", "10.0.0.0", "a1")),
                Set.of());
        report("far", 0, 10, 8);
        report("region", 0, 20, 8);
        report("centre", 0, 40, 8);
        report("own", 100, 80, 2);
        for (int i = 0; i < 100; i++) {
            assertThat(
                    selector.rankWithScores(spread, "s", ROUTE, Set.of()).stream()
                            .map(RankedInstance::instance)
                            .map(Instance::id)
                            .toList(),
                    is(List.of("own", "centre", "region", "far")));
        }
    }

    /** Guards against a server that was slow for a while, or reported so by mistake, and gets no calls afterwards. */
    @Test
    void oldReportsLoseTheirWeight() {
        report("x", 0, 30, 4);
        report("y", 0, 3_000, 4);
        assertThat(share("y"), lessThan(0.3));
        pass(15_000);
        report("x", 0, 30, 4);
        assertThat(share("y"), greaterThan(0.4));
    }

    /** Guards against one wrong report that makes every server of which nothing is known look slow or fast. */
    @Test
    void unknownInstanceIsRankedAsAverage() {
        report("x", 0, 30, 4);
        assertThat(share("y"), closeTo(0.5, 0.03));
    }

    /** Guards against a restarted server that is ranked by the speed of the process before it. */
    @Test
    void restartedInstanceIsRankedAsAverage() {
        report("x", 0, 30, 4);
        report("y", 0, 90, 4);
        selector.recordCapacity("y", ROUTE, -1, 4);
        assertThat(share("y"), closeTo(0.5, 0.03));
    }

    /** Guards against the speed of one route that is taken for that of another, after a change of the mix. */
    @Test
    void routesAreLearnedSeparately() {
        report("x", 0, 30, 4);
        report("y", 0, 90, 4);
        selector.recordCapacity("x", "other", 200, 4);
        selector.recordCapacity("y", "other", 50, 4);
        assertThat(share("x"), closeTo(27.0 / 28, 0.03));
    }
}
