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
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.nullValue;

class InstanceSelectorTestCase {

    private static final String ROUTE = "route";

    /** A call whose deadline leaves time to wait for a late answer. */
    private static final CallTimes LONG = new CallTimes(3_000, 300, 3_000);

    private static final CallTimes SHORT = new CallTimes(1_000, 200, 900);
    private static final Map<String, String> REGIONS = Map.of("a1", "a", "a2", "a", "b1", "b");

    private final AtomicLong nanos = new AtomicLong();
    private final InstanceSelector selector =
            new InstanceSelector("10.0.0.1", "a1", "a", REGIONS, nanos::get, new Random(1));

    private static Instance instance(String id, String host, String dataCentre, boolean draining) {
        return new Instance(id, "s", host + ":80", dataCentre, "v1", 4, draining, 0, 1, 0, 0);
    }

    private static FleetView view(Set<String> evacuated, Instance... instances) {
        return new FleetView(RuleSet.EMPTY, List.of(instances), evacuated);
    }

    private List<String> rankedIds(FleetView view, Set<String> homeRegions) {
        List<String> ids = new ArrayList<>();
        for (Instance instance : selector.rank(view, "s", homeRegions)) {
            ids.add(instance.id());
        }
        return ids;
    }

    private final FleetView fullView = view(
            Set.of(),
            instance("far", "10.0.0.4", "b1", false),
            instance("region", "10.0.0.3", "a2", false),
            instance("centre", "10.0.0.2", "a1", false),
            instance("own", "10.0.0.1", "a1", false));

    /** Guards against calls to an instance that has stated that it leaves, and against a next start that gets none. */
    @Test
    void instanceThatLeavesIsLeftOutUntilItsNextStart() {
        Instance leaving = instance("centre", "10.0.0.2", "a1", false);
        selector.recordLeaving(leaving);
        assertThat(rankedIds(fullView, Set.of()), contains("own", "region", "far"));
        Instance restarted = new Instance("centre", "s", "10.0.0.2:80", "a1", "v1", 4, false, 0, 1, 5, 0);
        assertThat(rankedIds(view(Set.of(), restarted), Set.of()), contains("centre"));
        selector.retain(List.of("own"));
        assertThat(rankedIds(fullView, Set.of()), contains("own", "centre", "region", "far"));
    }

    /** Guards against paid traffic between data centres while a nearer instance is available. */
    @Test
    void ranksNearestFirst() {
        assertThat(rankedIds(fullView, Set.of()), contains("own", "centre", "region", "far"));
    }

    /** Guards against a request that is processed outside its home regions. */
    @Test
    void excludesRegionsOtherThanHomeRegions() {
        assertThat(rankedIds(fullView, Set.of("b")), contains("far"));
        assertThat(rankedIds(fullView, Set.of("c")), empty());
    }

    /**
     * Guards against an instance in a data centre that the settings do not name: the calls of each route with home
     * regions failed with an exception.
     */
    @Test
    void instanceInUnknownDataCentreIsOutsideEveryHomeRegion() {
        FleetView view =
                view(Set.of(), instance("unknown", "10.0.0.5", "new", false), instance("far", "10.0.0.4", "b1", false));
        assertThat(rankedIds(view, Set.of("b")), contains("far"));
        assertThat(rankedIds(view, Set.of()).size(), is(2));
    }

    /** Guards against new calls to an evacuated data centre or a draining instance. */
    @Test
    void excludesDrainingAndEvacuatedInstances() {
        FleetView view = view(
                Set.of("a2"),
                instance("draining", "10.0.0.2", "a1", true),
                instance("evacuated", "10.0.0.3", "a2", false),
                instance("far", "10.0.0.4", "b1", false));
        assertThat(rankedIds(view, Set.of()), contains("far"));
    }

    /** Guards against a crashed instance that is ranked first, and against one that is ranked last for ever. */
    @Test
    void ranksFailedInstancesLastForLimitedTime() {
        selector.recordFailure("own");
        assertThat(rankedIds(fullView, Set.of()), contains("centre", "region", "far", "own"));
        nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(100));
        assertThat(rankedIds(fullView, Set.of()).get(0), is("own"));
    }

    /** Guards against one overloaded instance next to idle ones in a data centre. */
    @Test
    void ranksInstancesAtSameDistanceByReportedLoad() {
        FleetView view = view(Set.of(), instance("x", "10.0.0.2", "a1", false), instance("y", "10.0.0.3", "a1", false));
        selector.recordLoad("x", ROUTE, 100, 0);
        assertThat(rankedIds(view, Set.of()), contains("y", "x"));
        selector.recordLoad("y", ROUTE, 300, 0);
        assertThat(rankedIds(view, Set.of()), contains("x", "y"));
    }

    /**
     * Guards against wasted trial attempts, each a round trip, at crashed instances. After a power failure of the
     * fullView fleet, each address is listed twice for some seconds, with the crashed instance and its successor.
     */
    @Test
    void ranksSupersededInstancesLast() {
        FleetView view = view(
                Set.of(), startedAt("old", 1_000), startedAt("new", 2_000), instance("far", "10.0.0.4", "b1", false));
        assertThat(rankedIds(view, Set.of()), contains("new", "far", "old"));
        assertThat(lastResort(view, LONG).id(), is("new"));
    }

    private static Instance startedAt(String id, long startMillis) {
        return new Instance(id, "s", "10.0.0.2:80", "a1", "v1", 4, false, 0, 1, startMillis, 0);
    }

    /** Guards against last-resort attempts at an unreachable instance, whose reported load is low, in a burst. */
    @Test
    void lastResortIsSoonestInstanceThatDidNotFail() {
        selector.recordFailure("own");
        selector.recordLoad("centre", ROUTE, 300, 0);
        selector.recordLoad("region", ROUTE, 40, 0);
        selector.recordLoad("far", ROUTE, 10, 0);
        assertThat(lastResort(fullView, LONG).id(), is("region"));
        selector.recordLoad("centre", ROUTE, 1_300, 0);
        selector.recordLoad("region", ROUTE, 1_200, 0);
        assertThat(lastResort(fullView, LONG).id(), is("far"));
    }

    /**
     * Guards against short calls that are kept away from an instance because long calls of another route wait there for
     * long.
     */
    @Test
    void reportsOfOneRouteDoNotAffectAnother() {
        selector.recordLoad("own", "long reads", 4_000, 4_000);
        Instance own = fullView.instance("own");
        assertThat(selector.canAnswerWithin(own, "long reads", 1_000), is(false));
        assertThat(selector.canAnswerWithin(own, ROUTE, 1_000), is(true));
    }

    /**
     * Guards against a region in overload that sends its late calls to other regions, although its own instances answer
     * them before their deadlines: they are late there as well, and displace calls that could be in time.
     */
    @Test
    void lateCallsOfARegionInOverloadStayThere() {
        for (String id : List.of("own", "centre", "region")) {
            selector.recordLoad(id, ROUTE, 800, 800);
        }
        selector.recordLoad("far", ROUTE, 100, 0);
        Instance lastResort = lastResort(fullView, LONG);
        assertThat(selector.distance(lastResort), lessThan(Distance.OTHER_REGION));
    }

    /** Guards against paid traffic between regions for a call that its own region would answer about as soon. */
    @Test
    void lastResortStaysInRegionUnlessOtherIsMuchSooner() {
        selector.recordLoad("own", ROUTE, 180, 0);
        selector.recordLoad("centre", ROUTE, 180, 0);
        selector.recordLoad("region", ROUTE, 180, 0);
        selector.recordLoad("far", ROUTE, 10, 0);
        Instance lastResort = lastResort(fullView, LONG);
        assertThat(selector.distance(lastResort), lessThan(Distance.OTHER_REGION));
    }

    private Instance lastResort(FleetView view, CallTimes times) {
        return selector.chooseLastResort(view, selector.rank(view, "s", Set.of()), ROUTE, times);
    }

    private void recordLoadOfOwnRegion(long millis) {
        for (String id : List.of("own", "centre", "region")) {
            selector.recordLoad(id, ROUTE, millis, 0);
        }
    }

    /**
     * Guards against calls with deadlines of 400 to 1,500 ms that are late or refused in a burst on one region, while
     * another one has capacity: with a constant penalty of 1,000 ms none of them went there.
     */
    @Test
    void callWithShortDeadlineThatWouldBeLateGoesToAnotherRegion() {
        recordLoadOfOwnRegion(400);
        selector.recordLoad("far", ROUTE, 100, 0);
        assertThat(lastResort(fullView, SHORT).id(), is("far"));
        assertThat("with a long deadline", lastResort(fullView, LONG).id(), is(not("far")));
    }

    /** Guards against paid traffic for calls that the own region answers within the objective, or hardly later. */
    @Test
    void callWithShortDeadlineStaysWhenItsRegionMissesTheObjectiveByLessThanTheWayCosts() {
        recordLoadOfOwnRegion(240);
        assertThat(lastResort(fullView, SHORT).id(), is(not("far")));
    }

    /** Guards against calls of any deadline that their own region answers too late, as in a burst on one region. */
    @Test
    void callThatItsRegionAnswersTooLateGoesToAnotherRegion() {
        recordLoadOfOwnRegion(950);
        selector.recordLoad("far", ROUTE, 100, 0);
        assertThat(lastResort(fullView, SHORT).id(), is("far"));
        CallTimes fewLeft = new CallTimes(3_000, 0, 900);
        assertThat("with a long deadline", lastResort(fullView, fewLeft).id(), is("far"));
        selector.recordLoad("far", ROUTE, 880, 0);
        assertThat("too late there as well", lastResort(fullView, SHORT).id(), is(not("far")));
    }

    /**
     * Guards against calls that displace each other between regions in a burst on all regions: a region that has just
     * refused calls has an old report of little load.
     */
    @Test
    void lateCallWithShortDeadlineStaysDuringTheBackoffOfTheOtherRegion() {
        recordLoadOfOwnRegion(400);
        selector.recordSaturated(fullView.instance("far"), ROUTE);
        assertThat(lastResort(fullView, SHORT).id(), is(not("far")));
    }

    @Test
    void returnsNoLastResortWithoutCandidates() {
        assertThat(selector.chooseLastResort(fullView, List.of(), ROUTE, LONG), nullValue());
    }
}
