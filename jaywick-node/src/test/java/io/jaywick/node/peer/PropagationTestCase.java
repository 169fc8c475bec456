package io.jaywick.node.peer;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import io.jaywick.core.membership.RendezvousHash;
import io.jaywick.node.peer.TestFleet.Node;
import io.jaywick.node.source.InstanceEntry;
import io.jaywick.node.source.InstanceState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class PropagationTestCase {

    private final TestFleet fleet = new TestFleet(11);

    @AfterEach
    void stop() {
        fleet.close();
    }

    @Test
    void editReachesEveryNodeInOrderWithinASecond() {
        fleet.startThreeRegions(10);
        for (int revision = 2; revision <= 6; revision++) {
            fleet.source.publish(revision, "text" + revision);
            assertThat(fleet.converge(revision, 8_000), is(lessThan(1_000L)));
            fleet.advance(500);
        }
        fleet.nodes.values().forEach(node -> {
            List<Long> sorted = new ArrayList<>(node.adoptedRevisions);
            sorted.sort(null);
            assertThat(node.adoptedRevisions, is(sorted));
        });
    }

    /** Propagation must not wait for a stopped or unresponsive peer, not even for the first relays of a data centre. */
    @Test
    void unresponsiveAndStoppedPeersDelayNoOtherPeer() {
        fleet.startThreeRegions(10);
        List<Node> unavailable = new ArrayList<>();
        for (String dataCentre : List.of("r1a", "r1b", "r2a", "r2b")) {
            List<Node> byRank = sortedByScore("relay", fleet.inDataCentre(dataCentre));
            fleet.unresponsive.add(byRank.get(0).server);
            byRank.get(1).stop();
            unavailable.add(byRank.get(0));
        }
        fleet.source.publish(2, "two");
        List<Node> remaining = new ArrayList<>(fleet.nodes.values());
        remaining.removeIf(node -> !node.isRunning() || unavailable.contains(node));
        assertThat(fleet.converge(2, 8_000, remaining), is(lessThan(8_000L)));
    }

    @Test
    void editPropagatesWhenBothReadersStop() {
        fleet.startThreeRegions(10);
        sortedByScore("reader", fleet.inRegion("r1")).subList(0, 2).forEach(Node::stop);
        fleet.source.publish(2, "two");
        fleet.converge(2, 8_000);
    }

    /**
     * The candidates for a role may fail together, for example with their rack. A remaining node must then assume the
     * role, although it ranks behind all candidates.
     */
    @Test
    void editPropagatesWhenAllCandidatesOfEveryRoleStop() {
        fleet.startThreeRegions(12);
        sortedByScore("reader", fleet.inRegion("r1")).subList(0, 8).forEach(Node::stop);
        for (String dataCentre : List.of("r1a", "r1b", "r2a", "r2b", "r3a", "r3b")) {
            sortedByScore("relay", fleet.inDataCentre(dataCentre)).subList(0, 4).forEach(Node::stop);
        }
        fleet.source.publish(2, "two");
        fleet.converge(2, 8_000);
    }

    @Test
    void editPropagatesWhenRelaysStopDuringPropagation() {
        fleet.startThreeRegions(10);
        fleet.source.publish(2, "two");
        fleet.advance(PULL_START_MILLIS);
        for (String region : List.of("r1", "r2", "r3")) {
            sortedByScore("relay", fleet.inRegion(region)).get(0).stop();
        }
        fleet.converge(2, 8_000);
    }

    private static final long PULL_START_MILLIS = 14;

    /** Nodes with different views select different relays; propagation must not depend on their agreement. */
    @Test
    void nodesWithDifferentViewsConverge() {
        fleet.addToRoster("r1", "r1a", 12);
        fleet.addToRoster("r2", "r2a", 12);
        fleet.source.publish(1, "one");
        List<InstanceEntry> all = List.copyOf(fleet.instanceList);
        int shift = 0;
        for (Node node : fleet.nodes.values()) {
            List<InstanceEntry> part = new ArrayList<>();
            for (int i = 0; i < all.size(); i += 3) {
                part.add(all.get((i + shift) % all.size()));
            }
            shift++;
            node.start(() -> CompletableFuture.completedFuture(part));
        }
        fleet.converge(1, 20_000);
        fleet.source.publish(2, "two");
        fleet.converge(2, 8_000);
    }

    /** A node whose neighbours are all outdated or unresponsive must obtain new versions from other members. */
    @Test
    void nodeThatCannotReachItsNeighboursConverges() {
        fleet.startThreeRegions(12);
        Node node = fleet.inDataCentre("r2a").get(3);
        List<Node> others = new ArrayList<>(fleet.inDataCentre("r2a"));
        others.remove(node);
        others.sort((a, b) -> Long.compare(
                RendezvousHash.pairScore(node.server, b.server), RendezvousHash.pairScore(node.server, a.server)));
        Set<Node> unreachable = new HashSet<>(others.subList(0, 8));
        fleet.isConnected =
                (from, to) -> !(from == node && unreachable.contains(to) || unreachable.contains(from) && to == node);
        fleet.source.publish(2, "two");
        fleet.converge(2, 8_000);
    }

    @Test
    void peersCompensateForAStaleInstanceList() {
        fleet.addToRoster("r1", "r1a", 12);
        fleet.addToRoster("r2", "r2a", 12);
        fleet.source.publish(1, "one");
        List<InstanceEntry> stale = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            stale.add(new InstanceEntry(
                    "gone" + i, "r1a", "r1", "svc", "gone" + i + ":1", "gone" + i + ":2", InstanceState.LIVE));
        }
        stale.addAll(fleet.instanceList.subList(0, 3));
        fleet.nodes.values().forEach(node -> node.start(() -> CompletableFuture.completedFuture(stale)));
        fleet.converge(1, 20_000);
        fleet.advance(20_000);
        fleet.source.publish(2, "two");
        fleet.converge(2, 8_000);
        Node any = fleet.nodes.get("r2a-s12");
        assertThat(any.service.membership().members().size(), is(greaterThan(20)));
    }

    /** A new node must become known through gossip, before the next read of the instance list. */
    @Test
    void newInstanceBecomesKnownThroughGossip() {
        fleet.startThreeRegions(6);
        fleet.addToRoster("r1", "r1a", 7);
        Node joined = fleet.nodes.get("r1a-s7");
        joined.start();
        fleet.advance(60_000);
        long knowingCount = fleet.nodes.values().stream()
                .filter(node -> node.isRunning()
                        && node.service.membership().member(joined.server).isPresent())
                .count();
        assertThat(knowingCount, is(37L));
    }

    /** Traffic of a node without edits must not grow with the fleet. */
    @Test
    void idleTrafficStaysBelowEightKilobytesPerSecond() {
        fleet.startThreeRegions(20);
        fleet.countBytes = true;
        fleet.advance(20_000);
        fleet.nodes.values().forEach(node -> assertThat(node.server, node.bytes / 20, is(lessThan(8_192L))));
    }

    static List<Node> sortedByScore(String purpose, List<Node> nodes) {
        List<Node> sorted = new ArrayList<>(nodes);
        sorted.sort((a, b) ->
                Long.compare(RendezvousHash.score(purpose, b.server), RendezvousHash.score(purpose, a.server)));
        return sorted;
    }
}
