package io.jaywick.node.peer;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class FleetSizeScalingTestCase {

    /** Random probes add one source call per 3 s; with only a few edits the ratio would depend on chance. */
    private static final int EDITS = 30;

    private static final double MAX_GROWTH_RATIO = 1.3;

    /** Cross-region bytes and source calls per edit must not increase with the number of nodes. */
    @Test
    void costOfAnEditDoesNotGrowWithTheFleet() {
        Cost small = measure(16);
        Cost large = measure(64);
        System.out.println("96 nodes: " + small + ", 384 nodes: " + large);
        assertThat(large.crossRegionBytes / small.crossRegionBytes, is(lessThan(MAX_GROWTH_RATIO)));
        assertThat(large.sourceCalls / small.sourceCalls, is(lessThan(MAX_GROWTH_RATIO)));
        assertThat(large.slowestMillis, is(lessThan(1_000L)));
    }

    private static Cost measure(int serversPerDataCentre) {
        try (TestFleet fleet = new TestFleet(16)) {
            fleet.startThreeRegions(serversPerDataCentre);
            fleet.countBytes = true;
            int calls = fleet.source.calls;
            long slowest = 0;
            for (int i = 0; i < EDITS; i++) {
                fleet.source.publish(2 + i, "text" + i);
                long elapsedMillis = fleet.converge(2 + i, 8_000);
                slowest = Math.max(slowest, elapsedMillis);
                fleet.advance(1_000 - elapsedMillis);
            }
            return new Cost(
                    (double) fleet.crossRegionBytes / EDITS, (double) (fleet.source.calls - calls) / EDITS, slowest);
        }
    }

    private record Cost(double crossRegionBytes, double sourceCalls, long slowestMillis) {}
}
