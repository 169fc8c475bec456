package io.jaywick.core.placement;

import java.util.ArrayList;
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
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.nullValue;

class AttemptPlanTestCase {

    private static final String ROUTE = "route";
    private static final long OBJECTIVE_MILLIS = 300;
    private static final long REMAINING_MILLIS = 1_000;

    private final AtomicLong nanos = new AtomicLong();
    private final InstanceSelector selector = new InstanceSelector(
            "10.0.0.0", "a", "north", Map.of("a", "north", "b", "south"), nanos::get, new Random(5));

    private AttemptPlan plan(int instances) {
        List<Instance> listed = new ArrayList<>();
        for (int i = 1; i <= instances; i++) {
            listed.add(new Instance("i-" + i, "s", "10.0.0." + i + ":80", "a", "v1", 4, false, 0, 1, 0, 0));
        }
        FleetView view = new FleetView(RuleSet.EMPTY, listed, Set.of());
        return new AttemptPlan(selector, () -> view, "s", ROUTE, Set.of());
    }

    /**
     * Guards against unbounded round trips, and against repeated attempts at one instance, when all refuse in a burst.
     */
    @Test
    void boundsAttemptsWhenAllInstancesRefuse() {
        AttemptPlan plan = plan(9);
        List<String> attempts = new ArrayList<>();
        for (AttemptPlan.Choice choice = plan.nextAttempt(OBJECTIVE_MILLIS, REMAINING_MILLIS);
                choice != null;
                choice = plan.nextAttempt(OBJECTIVE_MILLIS, REMAINING_MILLIS)) {
            String entry = choice.purpose() + " " + choice.instance().id();
            assertThat(attempts, not(hasItem(entry)));
            attempts.add(entry);
            plan.recordRefusal(choice.instance().id());
        }
        assertThat(attempts.stream().filter(entry -> entry.startsWith("TRIAL")).count(), is(4L));
        assertThat(attempts.stream().filter(entry -> entry.startsWith("LAST")).count(), is(2L));
        assertThat(plan.isExhausted(), is(false));
    }

    /** Guards against a target that executes one call twice, and against an attempt at a draining instance. */
    @Test
    void doesNotChooseExcludedInstances() {
        AttemptPlan plan = plan(2);
        plan.exclude("i-1");
        assertThat(
                plan.nextAttempt(OBJECTIVE_MILLIS, REMAINING_MILLIS).instance().id(), is("i-2"));
        plan.exclude("i-2");
        assertThat(plan.nextAttempt(OBJECTIVE_MILLIS, REMAINING_MILLIS), nullValue());
        assertThat(plan.isExhausted(), is(true));
    }

    /** Guards against a hedge at the instance whose answer is late, and against an unbounded series of hedges. */
    @Test
    void hedgesAtOtherInstancesAndStops() {
        AttemptPlan plan = plan(9);
        String late =
                plan.nextAttempt(OBJECTIVE_MILLIS, REMAINING_MILLIS).instance().id();
        assertThat(plan.isHedged(), is(false));
        AttemptPlan.Choice hedge = plan.nextHedge(REMAINING_MILLIS);
        assertThat(hedge.purpose(), is(AttemptPurpose.HEDGE));
        assertThat(hedge.instance().id(), not(late));
        plan.recordRefusal(hedge.instance().id());
        assertThat(
                plan.nextHedge(REMAINING_MILLIS).instance().id(),
                not(hedge.instance().id()));
        assertThat(plan.nextHedge(REMAINING_MILLIS), nullValue());
        assertThat(plan.isHedged(), is(true));
    }

    /** Guards against a hedge at an instance that has stated meanwhile that it leaves, in the ranking made before. */
    @Test
    void doesNotChooseInstancesThatLeave() {
        AttemptPlan plan = plan(2);
        String late =
                plan.nextAttempt(OBJECTIVE_MILLIS, REMAINING_MILLIS).instance().id();
        selector.recordLeaving(instance(late.equals("i-1") ? "i-2" : "i-1", "10.0.0.9", "a"));
        assertThat(plan.nextHedge(REMAINING_MILLIS), nullValue());
    }

    @Test
    void doesNotHedgeWithOneInstance() {
        AttemptPlan plan = plan(1);
        plan.nextAttempt(OBJECTIVE_MILLIS, REMAINING_MILLIS);
        assertThat(plan.nextHedge(REMAINING_MILLIS), nullValue());
    }

    private static Instance instance(String id, String host, String dataCentre) {
        return new Instance(id, "s", host + ":80", dataCentre, "v1", 4, false, 0, 1, 0, 0);
    }

    /**
     * Guards against futile attempts in saturated regions. In a burst in all regions (bachau-cyd, scale-1), only 500 of
     * 11,500 attempts in other regions were accepted, and the refused ones were half of the traffic between regions.
     */
    @Test
    void backsOffFromSaturatedRegion() {
        List<Instance> listed = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            listed.add(instance("far-" + i, "10.0.1." + i, "b"));
        }
        FleetView view = new FleetView(RuleSet.EMPTY, listed, Set.of());
        int attempts = 0;
        for (int millis = 0; millis < 10_000; millis += 10) {
            AttemptPlan plan = new AttemptPlan(selector, () -> view, "s", ROUTE, Set.of());
            AttemptPlan.Choice choice = plan.nextAttempt(OBJECTIVE_MILLIS, REMAINING_MILLIS);
            while (choice != null && choice.purpose() == AttemptPurpose.TRIAL) {
                attempts++;
                plan.recordRefusal(choice.instance().id());
                selector.recordSaturated(choice.instance(), ROUTE);
                choice = plan.nextAttempt(OBJECTIVE_MILLIS, REMAINING_MILLIS);
            }
            nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(10));
        }
        assertThat(attempts, lessThan(30));
        // An accepted call ends the back-off.
        nanos.addAndGet(TimeUnit.SECONDS.toNanos(2));
        selector.recordAccepted(listed.get(0), ROUTE);
        AttemptPlan plan = new AttemptPlan(selector, () -> view, "s", ROUTE, Set.of());
        assertThat(plan.nextAttempt(OBJECTIVE_MILLIS, REMAINING_MILLIS).purpose(), is(AttemptPurpose.TRIAL));
    }

    /** Guards against refused long calls that block a region for short ones, such as the calls of running requests. */
    @Test
    void backsOffFromRegionForEachRoute() {
        Instance far = instance("far", "10.0.1.1", "b");
        selector.recordSaturated(far, ROUTE);
        assertThat(selector.canAnswerWithin(far, ROUTE, OBJECTIVE_MILLIS), is(false));
        assertThat(selector.canAnswerWithin(far, "other", OBJECTIVE_MILLIS), is(true));
    }

    /** Guards against futile round trips to instances that have recently reported a wait beyond the objective. */
    @Test
    void skipsTrialAttemptsAtInstancesWithLongWait() {
        AttemptPlan plan = plan(2);
        selector.recordLoad("i-1", ROUTE, 5 * OBJECTIVE_MILLIS, 5 * OBJECTIVE_MILLIS);
        selector.recordLoad("i-2", ROUTE, 5 * OBJECTIVE_MILLIS, 5 * OBJECTIVE_MILLIS);
        AttemptPlan.Choice choice = plan.nextAttempt(OBJECTIVE_MILLIS, 10 * REMAINING_MILLIS);
        assertThat(choice.purpose(), is(AttemptPurpose.LAST_RESORT));
        nanos.addAndGet(TimeUnit.SECONDS.toNanos(1));
        assertThat(plan(2).nextAttempt(OBJECTIVE_MILLIS, REMAINING_MILLIS).purpose(), is(AttemptPurpose.TRIAL));
    }

    /** Guards against a call that waits until its deadline although no instance can answer it in time. */
    @Test
    void refusesAtOnceWhenNoInstanceCanAnswerInTime() {
        AttemptPlan plan = plan(2);
        selector.recordLoad("i-1", ROUTE, 5 * REMAINING_MILLIS, 5 * REMAINING_MILLIS);
        selector.recordLoad("i-2", ROUTE, 3 * REMAINING_MILLIS, 3 * REMAINING_MILLIS);
        assertThat(plan.nextAttempt(OBJECTIVE_MILLIS, REMAINING_MILLIS), nullValue());
        assertThat(plan.isExhausted(), is(false));
        assertThat(plan.minWaitMillis(), is(3 * REMAINING_MILLIS));
    }

    /** Returns the regions' instances at which a call that every instance refuses makes trial attempts. */
    private List<String> refusedTrials(FleetView view, long remainingMillis) {
        AttemptPlan plan = new AttemptPlan(selector, () -> view, "s", ROUTE, Set.of());
        List<String> trials = new ArrayList<>();
        AttemptPlan.Choice choice = plan.nextAttempt(OBJECTIVE_MILLIS, remainingMillis);
        while (choice != null && choice.purpose() == AttemptPurpose.TRIAL) {
            trials.add(choice.instance().dataCentre());
            plan.recordRefusal(choice.instance().id());
            selector.recordSaturated(choice.instance(), ROUTE);
            choice = plan.nextAttempt(OBJECTIVE_MILLIS, remainingMillis);
        }
        return trials;
    }

    private static FleetView viewOfTwoRegions() {
        List<Instance> listed = new ArrayList<>();
        for (int i = 1; i <= 5; i++) {
            listed.add(instance("i-" + i, "10.0.0." + i, "a"));
            listed.add(instance("far-" + i, "10.0.1." + i, "b"));
        }
        return new FleetView(RuleSet.EMPTY, listed, Set.of());
    }

    /**
     * Guards against calls that fail in a burst on one region while another one has capacity: a region with four or more
     * instances used up all trial attempts.
     */
    @Test
    void lastTrialAttemptGoesToAnotherRegionUnlessItIsBackingOff() {
        FleetView view = viewOfTwoRegions();
        assertThat(refusedTrials(view, REMAINING_MILLIS), is(List.of("a", "a", "a", "b")));
        assertThat("while backing off", refusedTrials(view, REMAINING_MILLIS), is(List.of("a", "a", "a", "a")));
    }

    /** Guards against paid traffic of deployments whose deadlines leave time to wait for the own region. */
    @Test
    void trialAttemptsOfCallsWithLongDeadlinesStayInTheirRegion() {
        assertThat(refusedTrials(viewOfTwoRegions(), 3_000), is(List.of("a", "a", "a", "a")));
    }

    /** Guards against attempts in another region because instances of the own one leave or cannot be reached. */
    @Test
    void lastTrialAttemptStaysWhenOthersWereNotRefusedForLackOfCapacity() {
        FleetView view = viewOfTwoRegions();
        AttemptPlan plan = new AttemptPlan(selector, () -> view, "s", ROUTE, Set.of());
        for (int i = 0; i < 3; i++) {
            String id = plan.nextAttempt(OBJECTIVE_MILLIS, REMAINING_MILLIS)
                    .instance()
                    .id();
            plan.recordRefusal(id);
            plan.exclude(id);
        }
        AttemptPlan.Choice last = plan.nextAttempt(OBJECTIVE_MILLIS, REMAINING_MILLIS);
        assertThat(last.purpose(), is(AttemptPurpose.TRIAL));
        assertThat(last.instance().dataCentre(), is("a"));
    }
}
