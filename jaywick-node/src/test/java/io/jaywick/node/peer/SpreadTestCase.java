package io.jaywick.node.peer;

import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class SpreadTestCase {

    private final TestFleet fleet = new TestFleet(11);

    @AfterEach
    void stop() {
        fleet.close();
    }

    private void startThreeRegions(int servers) {
        for (String region : List.of("r1", "r2", "r3")) {
            fleet.roster(region, region + "a", servers);
            fleet.roster(region, region + "b", servers);
        }
        fleet.source.publish(1, "one");
        fleet.startAll();
        fleet.converge(1, 20_000);
        fleet.advance(10_000);
    }

    @Test
    void editReachesEveryNodeWithinASecond() {
        startThreeRegions(10);
        for (int revision = 2; revision <= 6; revision++) {
            fleet.source.publish(revision, "text" + revision);
            assertThat(fleet.converge(revision, 8_000), is(lessThan(1_000L)));
            fleet.advance(500);
        }
        fleet.nodes
                .values()
                .forEach(node -> assertThat(
                        node.adopted.subList(node.adopted.size() - 5, node.adopted.size()),
                        contains(2L, 3L, 4L, 5L, 6L)));
    }
}
