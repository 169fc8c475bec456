package io.jaywick.node.relay;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

import io.jaywick.core.message.ForwardAnswer;
import io.jaywick.core.message.ForwardCall;
import io.jaywick.core.message.Hello;
import io.jaywick.core.message.PeerEntry;
import io.jaywick.node.frame.FrameCodec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static io.jaywick.node.relay.RelayFixture.request;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

/** The drain of nodes with a long grace period, on a paused clock. */
class RelayDrainTestCase {

    private static final long GRACE_MILLIS = 40_000;

    private static final long LONGER_THAN_GRACE_MILLIS = 48_000;

    /** Time after which a draining node may shut down, but still accepts some calls. */
    private static final long MAY_SHUT_DOWN_MILLIS = 2_350;

    /** Time after which a draining node refuses calls of local callers. */
    private static final long REFUSES_CALLS_MILLIS = 18_050;

    /**
     * Deadline of a call that ends before any shutdown here. Deadlines are timers, which the paused clock does not stop.
     */
    private static final long SHORT_DEADLINE_MILLIS = 15_000;

    /** Time before the end of the grace period at which a drain ends, whatever is in flight. */
    private static final long SHUTDOWN_MARGIN_MILLIS = 500;

    private static final int SMALL_BUFFER_BYTES = 4_096;

    /** Together more than the buffers of a loopback connection hold. */
    private static final int REPLIES = 16;

    private static final int REPLY_BYTES = 1_000_000;

    /** More drain checks than there are between the last call and the end of a drain. */
    private static final int CHECKS_UNTIL_SHUTDOWN = 6;

    private RelayFixture fixture;
    private final CountDownLatch heldRequestArrived = new CountDownLatch(1);
    private final CountDownLatch release = new CountDownLatch(1);

    @BeforeEach
    void start() throws IOException {
        fixture = new RelayFixture(GRACE_MILLIS);
        fixture.publish(LONGER_THAN_GRACE_MILLIS);
        fixture.target.script((request, out) -> {
            if (request.header("Request-Id").equals("held")) {
                heldRequestArrived.countDown();
                release.await(20, TimeUnit.SECONDS);
            }
            return FakeTarget.write(out, FakeTarget.response(request, 200, "done"));
        });
    }

    @AfterEach
    void stop() throws IOException {
        release.countDown();
        fixture.close();
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String readAll(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    /** Sends a request that runs until the test releases it, so that its node cannot end its drain before. */
    private Socket holdCall() throws Exception {
        Socket socket = fixture.connect();
        send(socket, request("GET", "/safe/1", "held", ""));
        assertThat(heldRequestArrived.await(20, TimeUnit.SECONDS), is(true));
        return socket;
    }

    /** Starts the drain of a node and returns after it has started. */
    private CompletableFuture<Void> drain(Relay node) throws Exception {
        CompletableFuture<Void> drained = node.drain();
        fixture.awaitDrainCheck();
        return drained;
    }

    private String call(String id) throws IOException {
        return fixture.exchange(request("POST", "/unsafe/1", id, ""));
    }

    private String callWithDeadline(String id, long millis) throws IOException {
        return fixture.exchange(request("POST", "/unsafe/1", id, "")
                .replace("Connection: close", "Deadline: " + millis + "\r\nConnection: close"));
    }

    /**
     * Guards against a call that a node accepts late in its drain, sends to a target and aborts at its shutdown, because
     * the calls of the route were short so far.
     */
    @Test
    void lateCallThatMayOutlastTheNodeIsRefused() throws Exception {
        assertThat(call("a"), startsWith("HTTP/1.1 200 "));
        try (Socket held = holdCall()) {
            fixture.pauseClock();
            drain(fixture.caller);
            assertThat(call("b"), startsWith("HTTP/1.1 200 "));
            fixture.advance(MAY_SHUT_DOWN_MILLIS);
            fixture.awaitDrainCheck();
            String response = call("c");
            assertThat(response, startsWith("HTTP/1.1 503 "));
            assertThat(response, containsString("node-leaves"));
            assertThat(callWithDeadline("d", SHORT_DEADLINE_MILLIS), startsWith("HTTP/1.1 200 "));
            release.countDown();
            assertThat(readAll(held), endsWith("done"));
        }
        assertThat(fixture.target.calls(), hasSize(4));
    }

    /**
     * Guards against calls that a target makes for a request it runs and that its draining node refuses, which fails the
     * request although the node waits for it.
     */
    @Test
    void callsForARunningRequestAreAcceptedUntilItEnds() throws Exception {
        try (Socket held = holdCall()) {
            fixture.publishBoth(LONGER_THAN_GRACE_MILLIS);
            fixture.pauseClock();
            CompletableFuture<Void> drained = drain(fixture.targetNode);
            fixture.advance(REFUSES_CALLS_MILLIS);
            fixture.awaitDrainCheck();
            assertThat(callOfTarget("held.1", SHORT_DEADLINE_MILLIS), startsWith("HTTP/1.1 200 "));
            assertThat("may outlast the node", callOfTarget("held.2", GRACE_MILLIS), containsString("node-leaves"));
            assertThat(
                    "of no running request", callOfTarget("b.1", SHORT_DEADLINE_MILLIS), containsString("node-leaves"));
            release.countDown();
            assertThat(readAll(held), endsWith("done"));
            drained.get(20, TimeUnit.SECONDS);
            assertThat("after the drain", callOfTarget("held.3", SHORT_DEADLINE_MILLIS), containsString("node-leaves"));
        }
        assertThat(fixture.secondTarget.calls(), hasSize(1));
    }

    private String callOfTarget(String id, long deadlineMillis) throws IOException {
        try (Socket socket = connectToTargetNode()) {
            send(
                    socket,
                    request("POST", "/unsafe/1", id, "")
                            .replace("Connection: close", "Deadline: " + deadlineMillis + "\r\nConnection: close"));
            return readAll(socket);
        }
    }

    /** Guards against a call of a route without a measured latency that is accepted whatever time it needs. */
    @Test
    void firstCallOfARouteIsRefusedIfItsObjectiveIsAfterTheShutdown() throws Exception {
        fixture.pauseClock();
        fixture.publish(2 * LONGER_THAN_GRACE_MILLIS);
        drain(fixture.caller);
        assertThat(call("a"), startsWith("HTTP/1.1 503 "));
        assertThat(callWithDeadline("b", SHORT_DEADLINE_MILLIS), startsWith("HTTP/1.1 200 "));
        assertThat(fixture.target.calls(), hasSize(1));
    }

    /** Guards against a drain that closes a connection which was just opened, before it reads the request on it. */
    @Test
    void connectionOpenedDuringTheDrainGetsItsResponse() throws Exception {
        try (Socket held = holdCall();
                Socket idle = fixture.connect()) {
            fixture.pauseClock();
            drain(fixture.caller);
            fixture.advance(MAY_SHUT_DOWN_MILLIS);
            assertThat("idle connection is closed", readAll(idle), is(""));
            try (Socket opened = fixture.connect()) {
                // Connections are accepted in their order.
                callWithDeadline("a", SHORT_DEADLINE_MILLIS);
                fixture.awaitDrainCheck();
                send(opened, request("GET", "/safe/1", "b", ""));
                assertThat(readAll(opened), startsWith("HTTP/1.1 503 "));
            }
            release.countDown();
            assertThat(readAll(held), endsWith("done"));
        }
    }

    /** Guards against calls that a node accepts from its callers after its drain, and aborts by its exit. */
    @Test
    void nodeAcceptsNoCallOfItsCallersAfterItsDrain() throws Exception {
        assertThat(call("a"), startsWith("HTTP/1.1 200 "));
        fixture.pauseClock();
        CompletableFuture<Void> drained = drain(fixture.caller);
        fixture.advance(MAY_SHUT_DOWN_MILLIS);
        drained.get(20, TimeUnit.SECONDS);
        assertThat(callWithDeadline("b", SHORT_DEADLINE_MILLIS), startsWith("HTTP/1.1 503 "));
        assertThat(fixture.target.calls(), hasSize(1));
    }

    /** Guards against calls that a node accepts from other nodes after its drain, and aborts by its exit. */
    @Test
    void nodeAcceptsNoCallOfOtherNodesAfterItsDrain() throws Exception {
        assertThat(call("a"), startsWith("HTTP/1.1 200 "));
        fixture.pauseClock();
        CompletableFuture<Void> drained = drain(fixture.targetNode);
        fixture.advance(MAY_SHUT_DOWN_MILLIS);
        drained.get(20, TimeUnit.SECONDS);
        assertThat(callWithDeadline("b", SHORT_DEADLINE_MILLIS), startsWith("HTTP/1.1 503 "));
        assertThat(fixture.target.calls(), hasSize(1));
    }

    /** Guards against replies to other nodes that are cut by the exit of the process, as they are not yet written. */
    @Test
    void drainWaitsForRepliesToOtherNodes() throws Exception {
        String body = "x".repeat(REPLY_BYTES);
        CountDownLatch responded = new CountDownLatch(REPLIES);
        fixture.target.script((request, out) -> {
            FakeTarget.write(out, FakeTarget.response(request, 200, body));
            responded.countDown();
            return true;
        });
        FrameCodec codec = new FrameCodec();
        try (Socket peer = fixture.connectAsPeer()) {
            PeerEntry self = new PeerEntry("peer", "dc", "region", "service", "", "", 0, 0, false);
            Hello hello = new Hello(codec.minVersion(), codec.maxVersion(), self);
            peer.getOutputStream().write(codec.encode(codec.maxVersion(), 0, hello));
            for (int i = 1; i <= REPLIES; i++) {
                peer.getOutputStream().write(codec.encode(codec.maxVersion(), i, forwardCall("id-" + i)));
            }
            assertThat(responded.await(20, TimeUnit.SECONDS), is(true));
            fixture.pauseClock();
            CompletableFuture<Void> drained = drain(fixture.targetNode);
            fixture.advance(MAY_SHUT_DOWN_MILLIS);
            for (int i = 0; i < CHECKS_UNTIL_SHUTDOWN; i++) {
                fixture.awaitDrainCheck();
            }
            assertThat("drained before the replies are written", drained.isDone(), is(false));
            DataInputStream in = new DataInputStream(peer.getInputStream());
            int replies = 0;
            while (replies < REPLIES) {
                byte[] frame = in.readNBytes(in.readInt());
                if (codec.decode(frame).message() instanceof ForwardAnswer answer) {
                    assertThat(answer.body().length, is(REPLY_BYTES));
                    replies++;
                }
            }
            drained.get(20, TimeUnit.SECONDS);
        }
    }

    private static ForwardCall forwardCall(String id) {
        return new ForwardCall(
                id,
                id,
                "GET",
                "/safe/1",
                List.of("Request-Id", id),
                new byte[0],
                "other-service",
                "i-1",
                "safe",
                true,
                1,
                GRACE_MILLIS,
                GRACE_MILLIS,
                false,
                false,
                false,
                false,
                "");
    }

    /** Guards against a process that is still there at the end of its grace period, because a caller does not read. */
    @Test
    void drainEndsWithinTheGracePeriodWhateverItWaitsFor() throws Exception {
        CountDownLatch responded = new CountDownLatch(REPLIES);
        String body = "x".repeat(REPLY_BYTES);
        try (Socket held = holdCall();
                Socket receiving = connectToTargetNode();
                Socket notReading = connectToTargetNode()) {
            fixture.target.script((request, out) -> {
                FakeTarget.write(out, FakeTarget.response(request, 200, body));
                responded.countDown();
                return true;
            });
            String request = request("GET", "/safe/1", "a", "").replace("Connection: close\r\n", "");
            send(receiving, "POST /unsafe/1 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 9\r\n\r\npart");
            send(notReading, request.repeat(REPLIES));
            assertThat(responded.await(20, TimeUnit.SECONDS), is(true));
            fixture.pauseClock();
            CompletableFuture<Void> drained = drain(fixture.targetNode);
            fixture.advance(MAY_SHUT_DOWN_MILLIS);
            fixture.awaitDrainCheck();
            assertThat(drained.isDone(), is(false));
            fixture.advance(GRACE_MILLIS - MAY_SHUT_DOWN_MILLIS - SHUTDOWN_MARGIN_MILLIS);
            drained.get(20, TimeUnit.SECONDS);
            assertThat(readAll(held), startsWith("HTTP/1.1 502 "));
        }
    }

    private Socket connectToTargetNode() throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(SMALL_BUFFER_BYTES);
        socket.connect(fixture.targetNode.outboundAddress());
        return socket;
    }

    /** Guards against requests that were sent ahead and read, and whose connection a drain closes without a response. */
    @Test
    void requestsReadBeforeTheDrainAreAllAnswered() throws Exception {
        try (Socket socket = fixture.connect()) {
            String first = request("GET", "/safe/1", "held", "").replace("Connection: close\r\n", "");
            send(socket, first + first.replace("held", "b") + first.replace("held", "c"));
            assertThat(heldRequestArrived.await(20, TimeUnit.SECONDS), is(true));
            fixture.pauseClock();
            drain(fixture.caller);
            release.countDown();
            String responses = readAll(socket);
            assertThat(
                    Pattern.compile("Request-Id: (\\w+)")
                            .matcher(responses)
                            .results()
                            .map(result -> result.group(1))
                            .toList(),
                    is(List.of("held", "b", "c")));
            assertThat(
                    Pattern.compile("(?i)connection: close")
                            .matcher(responses)
                            .results()
                            .count(),
                    is(1L));
        }
    }
}
