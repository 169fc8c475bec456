package io.jaywick.node.relay;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static io.jaywick.node.relay.RelayFixture.request;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.startsWith;

/** Targets that state in their responses that they leave, between nodes with real sockets. */
class LeavingTargetTestCase {

    private static final long TIMEOUT_MILLIS = 10_000;
    private static final String LEAVING = "\r\nLeaving: 1";
    private static final int MAX_CALLS = 200;

    private RelayFixture fixture;
    private int calls;

    @BeforeEach
    void start() throws IOException {
        fixture = new RelayFixture();
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    private String call(Relay node) throws IOException {
        calls++;
        return RelayFixture.exchange(node, request("POST", "/unsafe/1", "id-" + calls, ""));
    }

    private static boolean respond(FakeTarget.ReceivedRequest request, OutputStream out, String header)
            throws IOException {
        return FakeTarget.write(out, FakeTarget.response(request, 200, "ok").replace("Stamp: s", "Stamp: s" + header));
    }

    /** Calls until the first target has responded, and returns its response. */
    private String callUntilReceived(Relay node) throws IOException {
        for (int i = 0; i < MAX_CALLS; i++) {
            int before = fixture.target.calls().size();
            String response = call(node);
            if (fixture.target.calls().size() > before) {
                return response;
            }
        }
        throw new AssertionError("the first target received no call");
    }

    /** Guards against calls to a target after its statement that it leaves, from any node (DRAIN). */
    @Test
    void leavingTargetReceivesNoFurtherCalls() throws IOException {
        fixture.publishBoth(TIMEOUT_MILLIS);
        fixture.target.script((request, out) -> respond(request, out, LEAVING));
        String response = callUntilReceived(fixture.caller);
        assertThat(response, startsWith("HTTP/1.1 200 "));
        assertThat("the header is forwarded", response, containsString("Leaving: 1\r\n"));
        int received = fixture.target.calls().size();
        for (Relay node : List.of(fixture.caller, fixture.targetNode, fixture.secondNode)) {
            for (int i = 0; i < 20; i++) {
                assertThat(call(node), startsWith("HTTP/1.1 200 "));
            }
        }
        assertThat(fixture.target.calls().size(), is(received));
    }

    /** Guards against further calls from a node that knows the statement, while the node of the target does not. */
    @Test
    void nodeThatForwardedTheStatementSendsNoFurtherCalls() throws IOException {
        fixture.publish(TIMEOUT_MILLIS);
        fixture.target.script((request, out) -> respond(request, out, LEAVING));
        assertThat(call(fixture.caller), startsWith("HTTP/1.1 200 "));
        fixture.forgetInstanceAtTargetNode();
        String refused = call(fixture.caller);
        assertThat(refused, startsWith("HTTP/1.1 503 "));
        assertThat(refused.toLowerCase(), containsString("\r\nretry-after: "));
        assertThat(fixture.target.calls().size(), is(1));
        assertThat("a node that has not forwarded it", call(fixture.secondNode), startsWith("HTTP/1.1 200 "));
    }

    /** Guards against calls in flight that are cut off, and queued ones that still start, when the target leaves. */
    @Test
    void callsInFlightContinueAndQueuedOnesAreRefused() throws Exception {
        fixture.publish(TIMEOUT_MILLIS);
        CountDownLatch received = new CountDownLatch(RelayFixture.SLOTS);
        CountDownLatch leaving = new CountDownLatch(1);
        CountDownLatch others = new CountDownLatch(1);
        fixture.target.script((request, out) -> {
            received.countDown();
            boolean isFirst = request.header("Request-Id").equals("id-1");
            (isFirst ? leaving : others).await(20, TimeUnit.SECONDS);
            return respond(request, out, isFirst ? LEAVING : "");
        });
        Socket[] sockets = new Socket[RelayFixture.SLOTS + 1];
        for (int i = 0; i < sockets.length; i++) {
            if (i == RelayFixture.SLOTS) {
                assertThat(received.await(20, TimeUnit.SECONDS), is(true));
            }
            sockets[i] = fixture.connect();
            sockets[i]
                    .getOutputStream()
                    .write(request("POST", "/unsafe/1", "id-" + (i + 1), "").getBytes(StandardCharsets.ISO_8859_1));
        }
        for (int i = 0; fixture.waitingCalls() == 0; i++) {
            assertThat("calls until one is queued", i, lessThanOrEqualTo(100 * MAX_CALLS));
            fixture.exchange(request("GET", "/none", "n", ""));
        }
        leaving.countDown();
        assertThat(read(sockets[0]), startsWith("HTTP/1.1 200 "));
        assertThat("queued", read(sockets[RelayFixture.SLOTS]), startsWith("HTTP/1.1 503 "));
        others.countDown();
        for (int i = 1; i < RelayFixture.SLOTS; i++) {
            assertThat("in flight", read(sockets[i]), startsWith("HTTP/1.1 200 "));
        }
        assertThat(fixture.target.calls().size(), is(RelayFixture.SLOTS));
    }

    private static String read(Socket socket) throws IOException {
        try (socket) {
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    /** Guards against a target that is avoided although it has not stated that it leaves. */
    @Test
    void otherValuesAndOtherResponsesAreNoStatement() throws IOException {
        fixture.publish(TIMEOUT_MILLIS);
        for (String value : List.of("0", "2", "", "true", "11", "1, 0")) {
            fixture.target.script((request, out) -> respond(request, out, "\r\nLeaving: " + value));
            assertThat(call(fixture.caller), startsWith("HTTP/1.1 200 "));
        }
        fixture.target.script((request, out) -> {
            respond(new FakeTarget.ReceivedRequest("Request-Id: other", "", null), out, LEAVING);
            return respond(request, out, "");
        });
        assertThat("second copy", call(fixture.caller), startsWith("HTTP/1.1 200 "));
        fixture.target.script((request, out) -> FakeTarget.write(
                out,
                FakeTarget.response(request, 421, "")
                        .replace("Stamp: s", "Not-Executed: 1\r\nInstance: i-9" + LEAVING)));
        assertThat("another instance", call(fixture.caller), startsWith("HTTP/1.1 503 "));
        fixture.target.script((request, out) -> respond(request, out, ""));
        assertThat(call(fixture.caller), startsWith("HTTP/1.1 200 "));
    }

    /** Guards against a target that leaves and refuses calls itself, or fails them, and receives more of them. */
    @Test
    void refusalsAndFailuresOfTheTargetAreStatements() throws IOException {
        fixture.publishBoth(TIMEOUT_MILLIS);
        fixture.target.script((request, out) -> FakeTarget.write(
                out, FakeTarget.response(request, 503, "").replace("Stamp: s", "Not-Executed: 1" + LEAVING)));
        assertThat(callUntilReceived(fixture.caller), startsWith("HTTP/1.1 200 "));
        fixture.forgetInstanceAtTargetNode();
        int received = fixture.target.calls().size();
        for (int i = 0; i < 20; i++) {
            assertThat(call(fixture.caller), startsWith("HTTP/1.1 200 "));
        }
        assertThat(fixture.target.calls().size(), is(received));
    }

    /** Guards against an instance that is refused because its predecessor at the address left. */
    @Test
    void statementHoldsForItsInstance() throws IOException {
        fixture.publish(TIMEOUT_MILLIS);
        fixture.target.script((request, out) -> respond(request, out, LEAVING));
        assertThat(call(fixture.caller), startsWith("HTTP/1.1 200 "));
        assertThat(call(fixture.caller), startsWith("HTTP/1.1 503 "));
        fixture.target.script((request, out) -> respond(request, out, ""));
        fixture.publishReplaced(TIMEOUT_MILLIS);
        assertThat(call(fixture.caller), startsWith("HTTP/1.1 200 "));
    }

    /** Guards against calls to a leaving target from a node that has just started and checks the target's health. */
    @Test
    void healthResponseIsAStatement() throws IOException {
        fixture.target.healthScript((request, out) ->
                FakeTarget.write(out, "HTTP/1.1 200 OK\r\nInstance: i-1" + LEAVING + "\r\nContent-Length: 0\r\n\r\n"));
        fixture.publishBoth(TIMEOUT_MILLIS);
        for (int i = 0; !fixture.isTargetLeaving(); i++) {
            assertThat("calls until the check is answered", i, lessThanOrEqualTo(100 * MAX_CALLS));
            fixture.exchange(request("GET", "/none", "n", ""));
        }
        for (int i = 0; i < 20; i++) {
            assertThat(call(fixture.caller), startsWith("HTTP/1.1 200 "));
        }
        assertThat(fixture.target.calls().size(), is(0));
    }
}
