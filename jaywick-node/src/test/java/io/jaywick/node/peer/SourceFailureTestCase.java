package io.jaywick.node.peer;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.jaywick.node.peer.TestFleet.Node;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class SourceFailureTestCase {

    private static final int MAX_SOURCE_CALLS_PER_SECOND = 2_000;

    private final TestFleet fleet = new TestFleet(12);

    @AfterEach
    void stop() {
        fleet.close();
    }

    private void restart(List<Node> nodes) {
        nodes.forEach(Node::stop);
        nodes.forEach(Node::start);
    }

    @Test
    void restartedNodePrefersTheNewerVersionOfPeersToAStaleSource() {
        fleet.startThreeRegions(6);
        fleet.source.publish(2, "two");
        fleet.converge(2, 8_000);
        fleet.source.publish(1, "one");
        Node node = fleet.nodes.get("r1a-s1");
        restart(List.of(node));
        fleet.advance(60_000);
        assertThat(node.adoptedRevisions, is(List.of(2L)));
    }

    @Test
    void dataCentreRestartedWhileTheSourceIsDownConverges() {
        fleet.startThreeRegions(8);
        fleet.source.down = true;
        fleet.source.failPendingCalls();
        restart(fleet.inDataCentre("r1a"));
        fleet.converge(1, 8_000);
        fleet.source.down = false;
        fleet.source.publish(2, "two");
        fleet.converge(2, 8_000);
    }

    /** An invalid newest value must neither leave restarted nodes without a table nor hide later valid versions. */
    @Test
    void dataCentreRestartedWhileTheNewestValueIsInvalidConverges() {
        fleet.startThreeRegions(8);
        fleet.source.publish(2, "bad");
        fleet.advance(10_000);
        restart(fleet.inDataCentre("r1a"));
        fleet.converge(1, 8_000);
        assertThat(fleet.nodes.values().stream().noneMatch(node -> node.adoptedRevisions.contains(2L)), is(true));
        fleet.source.publish(3, "three");
        fleet.converge(3, 8_000);
        fleet.source.publish(4, "bad again");
        fleet.source.publish(5, "five");
        fleet.converge(5, 8_000);
    }

    /** After a rejected revision, a watch for newer ones alone would miss a valid revision below it. */
    @Test
    void editBelowARejectedRevisionIsAdopted() {
        fleet.startThreeRegions(6);
        fleet.source.publish(1_000, "bad");
        fleet.advance(10_000);
        fleet.source.publish(2, "two");
        fleet.converge(2, 8_000);
    }

    @Test
    void versionRegressionOfTheSourceIsIgnoredAndReported() {
        fleet.startThreeRegions(6);
        fleet.source.publish(5, "five");
        fleet.converge(5, 8_000);
        fleet.source.publish(3, "three");
        fleet.advance(SourceWatcher.READ_INTERVAL_MILLIS + 60_000);
        assertThat(fleet.nodes.values().stream().allMatch(node -> node.revision() == 5), is(true));
        assertThat(
                fleet.nodes.values().stream()
                        .anyMatch(node -> node.service.status().sourceStatus().regressed()),
                is(true));
        fleet.source.publish(6, "six");
        fleet.converge(6, 8_000);
    }

    /** Two contents with the same revision must not make nodes alternate between them. */
    @Test
    void twoContentsUnderOneRevisionAreCountedAndTheNextRevisionResolvesThem() {
        fleet.startThreeRegions(6);
        fleet.isConnected = (from, to) -> from.region.equals(to.region);
        fleet.canReachSource = node -> node.region.equals("r1");
        fleet.source.publish(2, "two");
        fleet.converge(2, 8_000, fleet.inRegion("r1"));
        fleet.source.publish(2, "other two");
        fleet.canReachSource = node -> !node.region.equals("r1");
        fleet.advance(30_000);
        fleet.isConnected = (from, to) -> true;
        fleet.canReachSource = node -> true;
        fleet.advance(30_000);
        assertThat(fleet.nodes.values().stream().allMatch(node -> node.revision() == 2), is(true));
        assertThat(
                fleet.nodes.values().stream()
                        .mapToLong(node -> node.service.status().conflictCount())
                        .sum(),
                is(greaterThan(0L)));
        fleet.source.publish(3, "three");
        fleet.converge(3, 8_000);
        assertThat(
                fleet.nodes.values().stream()
                        .map(node -> node.service.snapshot().hash())
                        .distinct()
                        .count(),
                is(1L));
    }

    @Test
    void nodeWithoutRunningPeersReadsTheSource() {
        fleet.addToRoster("r2", "r2a", 3);
        fleet.source.publish(7, "seven");
        Node node = fleet.nodes.get("r2a-s1");
        node.start();
        fleet.converge(7, 8_000);
    }

    @Test
    void nodeWithoutRunningPeersHasNoVersionUntilTheSourceValueIsValid() {
        fleet.addToRoster("r1", "r1a", 3);
        fleet.source.publish(7, "bad");
        Node node = fleet.nodes.get("r1a-s1");
        node.start();
        fleet.advance(20_000);
        assertThat(node.revision(), is(0L));
        assertThat(node.service.status().lastRejected().revision(), is(7L));
        fleet.source.publish(8, "eight");
        fleet.converge(8, 8_000);
    }

    /**
     * Timers and messages from before a pause run when the process resumes. They must neither return the node to an
     * older version nor cause a burst of source calls.
     */
    @Test
    void resumedProcessWithStaleTimersAndMessagesConverges() {
        fleet.startThreeRegions(6);
        Node node = PropagationTestCase.sortedByScore("reader", fleet.inRegion("r1"))
                .get(0);
        fleet.source.publish(2, "two");
        node.pause();
        fleet.advance(180_000);
        fleet.source.publish(3, "three");
        fleet.advance(120_000);
        int calls = fleet.source.calls;
        node.resume();
        fleet.converge(3, 8_000);
        assertThat(node.adoptedRevisions.get(node.adoptedRevisions.size() - 1), is(3L));
        assertThat(
                node.adoptedRevisions,
                is(node.adoptedRevisions.stream().sorted().distinct().toList()));
        assertThat(fleet.source.calls - calls, is(lessThanOrEqualTo(12)));
    }

    /** The fleet of the design size without any known peers is the worst case for the load on the source. */
    @Test
    void simultaneousStartWithEmptyViewsLimitsSourceCalls() {
        startWithEmptyViews(3_700);
        fleet.source.publish(1, "one");
        fleet.advance(20_000);
        assertThat(fleet.nodes.values().stream().allMatch(node -> node.revision() == 1), is(true));
        fleet.source.publish(2, "two");
        fleet.advance(12_000);
        assertThat(fleet.nodes.values().stream().allMatch(node -> node.revision() == 2), is(true));
        assertSourceCallLimit();
    }

    @Test
    void simultaneousStartDuringASourceOutageLimitsSourceCalls() {
        startWithEmptyViews(3_700);
        fleet.source.publish(1, "one");
        fleet.source.down = true;
        fleet.advance(20_000);
        fleet.source.down = false;
        fleet.source.hangs = true;
        fleet.advance(20_000);
        fleet.source.hangs = false;
        fleet.source.failPendingCalls();
        fleet.advance(20_000);
        assertThat(fleet.nodes.values().stream().allMatch(node -> node.revision() == 1), is(true));
        assertSourceCallLimit();
    }

    @Test
    void fewNodesCallTheSourceWhenTheFleetRestartsWithACompleteList() {
        fleet.startThreeRegions(30);
        fleet.source.publish(2, "two");
        fleet.converge(2, 8_000);
        fleet.source.callsBySecond.clear();
        restart(List.copyOf(fleet.nodes.values()));
        fleet.converge(2, 20_000);
        int most = fleet.source.maxCallsInOneSecond();
        System.out.println("most source calls in one second at a restart of 180 nodes: " + most);
        assertThat(most, is(lessThan(180 / 2)));
    }

    private void startWithEmptyViews(int servers) {
        fleet.addToRoster("r1", "r1a", servers);
        fleet.nodes.values().forEach(node -> node.start(() -> CompletableFuture.completedFuture(List.of())));
    }

    private void assertSourceCallLimit() {
        int most = fleet.source.maxCallsInOneSecond();
        System.out.println("most source calls in one second at 3,700 nodes: " + most);
        assertThat(most, is(lessThan(MAX_SOURCE_CALLS_PER_SECOND)));
    }
}
