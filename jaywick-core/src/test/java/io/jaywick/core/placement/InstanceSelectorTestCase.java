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
import static org.hamcrest.Matchers.nullValue;

class InstanceSelectorTestCase {

    private static final Map<String, String> REGIONS = Map.of("a1", "a", "a2", "a", "b1", "b");

    private final AtomicLong nanos = new AtomicLong();
    private final InstanceSelector placement =
            new InstanceSelector("10.0.0.1", "a1", "a", REGIONS, nanos::get, new Random(1));

    private static Instance instance(String id, String host, String dataCentre, boolean draining) {
        return new Instance(id, "s", host + ":80", dataCentre, "v1", 4, draining, 0, 1, 0, 0);
    }

    private static FleetView view(Set<String> evacuated, Instance... instances) {
        return new FleetView(RuleSet.EMPTY, List.of(instances), evacuated);
    }

    private List<String> order(FleetView view, Set<String> homes) {
        List<String> ids = new ArrayList<>();
        for (Instance instance : placement.rank(view, "s", homes)) {
            ids.add(instance.id());
        }
        return ids;
    }

    private final FleetView whole = view(
            Set.of(),
            instance("far", "10.0.0.4", "b1", false),
            instance("region", "10.0.0.3", "a2", false),
            instance("centre", "10.0.0.2", "a1", false),
            instance("own", "10.0.0.1", "a1", false));

    /** Guards against paid bytes between data centres while a nearer instance is free. */
    @Test
    void nearestComesFirst() {
        assertThat(order(whole, Set.of()), contains("own", "centre", "region", "far"));
    }

    /** Guards against a request that leaves its home regions. */
    @Test
    void otherRegionsThanTheHomesAreNeverNamed() {
        assertThat(order(whole, Set.of("b")), contains("far"));
        assertThat(order(whole, Set.of("c")), empty());
    }

    /** Guards against new work in an evacuated data centre or for a draining instance. */
    @Test
    void leavingInstancesAreNeverNamed() {
        FleetView view = view(
                Set.of("a2"),
                instance("draining", "10.0.0.2", "a1", true),
                instance("evacuated", "10.0.0.3", "a2", false),
                instance("far", "10.0.0.4", "b1", false));
        assertThat(order(view, Set.of()), contains("far"));
    }

    /** Guards against a dead instance that is asked first, and against one that is never asked again. */
    @Test
    void failedInstancesComeLastForAWhile() {
        placement.recordFailure("own");
        assertThat(order(whole, Set.of()), contains("centre", "region", "far", "own"));
        nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(100));
        assertThat(order(whole, Set.of()).get(0), is("own"));
    }

    /** Guards against one hot instance beside idle ones in a data centre. */
    @Test
    void equallyNearOnesAreOrderedByReportedWait() {
        FleetView view = view(Set.of(), instance("x", "10.0.0.2", "a1", false), instance("y", "10.0.0.3", "a1", false));
        placement.recordLoad("x", 100, 0);
        assertThat(order(view, Set.of()), contains("y", "x"));
        placement.recordLoad("y", 300, 0);
        assertThat(order(view, Set.of()), contains("x", "y"));
    }

    /**
     * Pattern power_off_all: for some seconds each address is listed twice, with the crashed instance and the next one;
     * the crashed one costs a call a round trip and a trial.
     */
    @Test
    void supersededInstancesComeLast() {
        FleetView view =
                view(Set.of(), born("old", 1_000), born("new", 2_000), instance("far", "10.0.0.4", "b1", false));
        assertThat(order(view, Set.of()), contains("new", "far", "old"));
        assertThat(
                placement
                        .chooseLastResort(view, placement.rank(view, "s", Set.of()))
                        .id(),
                is("new"));
    }

    private static Instance born(String id, long bornMillis) {
        return new Instance(id, "s", "10.0.0.2:80", "a1", "v1", 4, false, 0, 1, bornMillis, 0);
    }

    /** Pattern burst: the last resort is an instance that can take the call, not one that nobody could reach. */
    @Test
    void lastResortIsTheSoonestThatDidNotFail() {
        placement.recordFailure("own");
        placement.recordLoad("centre", 300, 0);
        placement.recordLoad("region", 40, 0);
        placement.recordLoad("far", 10, 0);
        assertThat(
                placement
                        .chooseLastResort(whole, placement.rank(whole, "s", Set.of()))
                        .id(),
                is("region"));
        placement.recordLoad("region", 900, 0);
        assertThat(
                placement
                        .chooseLastResort(whole, placement.rank(whole, "s", Set.of()))
                        .id(),
                is("far"));
    }

    /** Guards against bytes between regions for a call that would be answered about as soon in its own. */
    @Test
    void lastResortStaysNearWhenFarIsNotMuchSooner() {
        placement.recordLoad("own", 180, 0);
        placement.recordLoad("centre", 180, 0);
        placement.recordLoad("region", 180, 0);
        placement.recordLoad("far", 10, 0);
        Instance last = placement.chooseLastResort(whole, placement.rank(whole, "s", Set.of()));
        assertThat(placement.distance(last), lessThan(Distance.OTHER_REGION));
    }

    @Test
    void withoutCandidatesThereIsNoLastResort() {
        assertThat(placement.chooseLastResort(whole, List.of()), nullValue());
    }
}
