package io.jaywick.node.peer;

import java.util.ArrayList;
import java.util.List;

import io.jaywick.node.peer.TestFleet.Node;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class PartitionTestCase {

    private static final long HOUR_MILLIS = 3_600_000;
    private static final long MAX_BYTES_PER_SECOND = 8_192;

    private final TestFleet fleet = new TestFleet(13);

    @AfterEach
    void stop() {
        fleet.close();
    }

    private void reconnectAndAssertConvergence(long revision) {
        fleet.nodes.values().forEach(node -> node.bytes = 0);
        fleet.countBytes = true;
        fleet.isConnected = (from, to) -> true;
        fleet.canReachSource = node -> true;
        long elapsedMillis = fleet.converge(revision, 8_000);
        System.out.println("converged after " + elapsedMillis + " ms");
        fleet.advance(10_000 - elapsedMillis);
        fleet.nodes
                .values()
                .forEach(node -> assertThat(node.server, node.bytes / 10, is(lessThan(MAX_BYTES_PER_SECOND))));
    }

    @Test
    void regionsPartitionedForAnHourConvergeAfterReconnection() {
        fleet.startThreeRegions(6);
        fleet.isConnected = (from, to) -> from.region.equals(to.region);
        fleet.canReachSource = node -> node.region.equals("r1");
        for (int revision = 2; revision <= 40; revision++) {
            fleet.source.publish(revision, "text" + revision);
            fleet.converge(revision, 8_000, fleet.inRegion("r1"));
            fleet.advance(HOUR_MILLIS / 39);
        }
        assertThat(fleet.inRegion("r2").stream().allMatch(node -> node.revision() == 1), is(true));
        reconnectAndAssertConvergence(40);
        fleet.source.publish(41, "next");
        fleet.converge(41, 8_000);
    }

    /**
     * The elected readers may all be in one part of a split source region. The other part must elect readers of its own
     * instead of waiting for them.
     */
    @Test
    void bothSidesOfASplitSourceRegionStayCurrent() {
        fleet.startThreeRegions(6);
        fleet.isConnected = (from, to) -> side(from) == side(to);
        fleet.advance(HOUR_MILLIS);
        fleet.source.publish(2, "two");
        fleet.converge(2, 8_000);
        fleet.advance(HOUR_MILLIS / 4);
        reconnectAndAssertConvergence(2);
    }

    private static boolean side(Node node) {
        return node.server.endsWith("1") || node.server.endsWith("2");
    }

    /** A region partitioned from the source's region must read the source itself if it can reach it. */
    @Test
    void otherRegionReadsTheSourceWhenTheSourceRegionIsUnreachable() {
        fleet.startThreeRegions(6);
        fleet.isConnected = (from, to) -> from.region.equals(to.region);
        fleet.advance(60_000);
        fleet.source.publish(2, "two");
        fleet.converge(2, 8_000);
        fleet.inRegion("r1").forEach(Node::stop);
        fleet.isConnected = (from, to) -> true;
        fleet.advance(30_000);
        fleet.source.publish(3, "three");
        fleet.converge(3, 8_000, List.copyOf(fleet.inRegion("r2")));
    }

    /** Relays of other regions must not read the source over a paid link while peers supply their region. */
    @Test
    void servedRegionDoesNotReadTheSource() {
        fleet.startThreeRegions(10);
        List<String> calling = new ArrayList<>();
        fleet.canReachSource = node -> calling.add(node.region);
        fleet.advance(60_000);
        assertThat(calling, everyItem(is("r1")));
    }

    @Test
    void editPropagatesWhenTheWholeSourceRegionStops() {
        fleet.startThreeRegions(6);
        fleet.inRegion("r1").forEach(Node::stop);
        fleet.source.publish(2, "two");
        fleet.converge(2, 8_000);
    }
}
