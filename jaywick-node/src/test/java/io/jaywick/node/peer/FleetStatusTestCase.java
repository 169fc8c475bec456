package io.jaywick.node.peer;

import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

import io.jaywick.core.distribution.FleetStatus;
import io.jaywick.core.message.PullRequest;
import io.jaywick.node.peer.TestFleet.Node;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class FleetStatusTestCase {

    private final TestFleet fleet = new TestFleet(14);

    @AfterEach
    void stop() {
        fleet.close();
    }

    private FleetStatus queryStatus(Node node) {
        CompletableFuture<FleetStatus> status = node.service.fleetStatus();
        fleet.advance(3_000);
        return status.join();
    }

    @Test
    void everyNodeCountsTheWholeFleet() {
        fleet.startThreeRegions(40);
        for (String server : new String[] {"r1a-s1", "r2b-s7", "r3a-s40"}) {
            FleetStatus status = queryStatus(fleet.nodes.get(server));
            assertThat(status.activeServers(), is(240));
            assertThat(status.rosterSize(), is(240));
            assertThat(status.smallestActiveRevision(), is(OptionalLong.of(1)));
        }
    }

    @Test
    void outdatedOrUnresponsiveServersAreNotCountedAsActive() {
        fleet.startThreeRegions(10);
        fleet.isConnected = (from, to) -> from.region.equals(to.region);
        fleet.canReachSource = node -> node.region.equals("r1");
        fleet.source.publish(2, "two");
        fleet.converge(2, 8_000, fleet.inRegion("r1"));
        fleet.advance(1_000);
        FleetStatus partitioned = queryStatus(fleet.nodes.get("r1a-s1"));
        assertThat(partitioned.revision(), is(2L));
        assertThat(partitioned.activeServers(), is(20));
        assertThat(partitioned.smallestActiveRevision(), is(OptionalLong.empty()));
        fleet.isConnected = (from, to) -> true;
        fleet.converge(2, 8_000);
        fleet.advance(10_000);
        assertThat(queryStatus(fleet.nodes.get("r3a-s1")).smallestActiveRevision(), is(OptionalLong.of(2)));
        fleet.nodes.get("r2a-s3").stop();
        fleet.advance(10_000);
        FleetStatus afterStop = queryStatus(fleet.nodes.get("r1a-s1"));
        assertThat(afterStop.activeServers(), is(59));
        assertThat(afterStop.smallestActiveRevision(), is(OptionalLong.empty()));
    }

    @Test
    void laggardsAreListedUpToTheLimit() {
        fleet.startThreeRegions(20);
        fleet.isDelivered =
                message -> !(message instanceof PullRequest pull && pull.from().startsWith("r2b"));
        fleet.source.publish(2, "two");
        fleet.advance(12_000);
        FleetStatus status = queryStatus(fleet.nodes.get("r1a-s1"));
        assertThat(status.activeServers(), is(100));
        assertThat(status.laggards().size(), is(lessThanOrEqualTo(16)));
        assertThat(
                status.laggards().stream().map(laggard -> laggard.server()).toList(), everyItem(containsString("r2b")));
        assertThat(status.smallestActiveRevision(), is(OptionalLong.of(1)));
    }
}
