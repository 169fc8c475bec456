package io.jaywick.node.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import io.jaywick.core.message.Announce;
import io.jaywick.core.message.Busy;
import io.jaywick.core.message.ContentPart;
import io.jaywick.core.message.Message;
import io.jaywick.core.message.PullRequest;
import io.jaywick.core.message.UpToDate;
import io.jaywick.node.peer.TestFleet.Node;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

class TransferTestCase {

    private final TestFleet fleet = new TestFleet(15);

    @BeforeEach
    void startWithALargeTable() {
        fleet.addToRoster("r1", "r1a", 8);
        fleet.source.publish(1, text(20_000));
        fleet.startAll();
        fleet.converge(1, 20_000);
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    private static String text(int rows) {
        Random random = new Random(1);
        StringBuilder text = new StringBuilder("first");
        for (int i = 0; i < rows; i++) {
            text.append('|').append(Long.toHexString(random.nextLong()));
        }
        return text.toString();
    }

    /** A transfer whose peer fails must continue at another peer instead of restarting or stalling. */
    @Test
    void interruptedTransferResumesAtAnotherPeer() {
        Node node = fleet.nodes.get("r1a-s3");
        node.stop();
        List<Integer> parts = new ArrayList<>();
        fleet.isDelivered = message -> {
            if (message instanceof PullRequest pull && pull.from().equals(node.server)) {
                parts.add(pull.part());
                return parts.size() != 3;
            }
            return true;
        };
        node.start();
        fleet.converge(1, 8_000);
        assertThat(parts.size(), is(greaterThan(4)));
        assertThat(parts.subList(0, 4), is(List.of(0, 1, 2, 2)));
        assertThat(parts.stream().filter(part -> part == 0).count(), is(1L));
    }

    @Test
    void versionPublishedDuringATransferReplacesIt() {
        Node node = fleet.nodes.get("r1a-s3");
        node.stop();
        List<Integer> parts = new ArrayList<>();
        fleet.isDelivered = message -> {
            if (message instanceof PullRequest pull && pull.from().equals(node.server)) {
                parts.add(pull.part());
                if (parts.size() == 2) {
                    fleet.source.publish(2, text(19_000));
                }
            }
            return true;
        };
        node.start();
        fleet.converge(2, 8_000);
    }

    @Test
    void transferAboveTheConcurrencyLimitIsAnsweredBusy() {
        Node node = fleet.nodes.get("r1a-s3");
        for (int i = 0; i < PullServer.MAX_CONCURRENT_TRANSFERS; i++) {
            assertThat(pull(node, "x" + i), is(instanceOf(ContentPart.class)));
        }
        assertThat(pull(node, "late"), is(instanceOf(Busy.class)));
        assertThat("transfer in progress continues", pull(node, "x0"), is(instanceOf(ContentPart.class)));
        fleet.advance(PullServer.TRANSFER_TIMEOUT_MILLIS + 100);
        assertThat(pull(node, "late"), is(instanceOf(ContentPart.class)));
    }

    /** A peer may announce a version that no node holds; the node must keep its own and adopt the next one. */
    @Test
    void announcementOfAnUnavailableVersionHasNoEffect() {
        Node node = fleet.nodes.get("r1a-s3");
        Message reply = node.handlers.handle(new Announce("r1a-s4", 99, "none")).join();
        assertThat(reply, is(instanceOf(UpToDate.class)));
        fleet.advance(10_000);
        assertThat(node.revision(), is(1L));
        fleet.source.publish(2, text(100));
        fleet.converge(2, 8_000);
    }

    private Message pull(Node node, String from) {
        Message reply =
                node.handlers.handle(new PullRequest(from, 0, "", true, 0, 0)).join();
        return reply;
    }
}
