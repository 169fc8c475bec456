package io.jaywick.node.relay;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;

import io.jaywick.core.message.ForwardAnswer;
import io.jaywick.core.message.ForwardCall;
import io.jaywick.core.message.Hello;
import io.jaywick.core.message.PeerEntry;
import io.jaywick.node.frame.FrameCodec;
import io.jaywick.node.peer.LinkLimits;
import io.jaywick.node.peer.MessageHandlers;
import io.jaywick.node.peer.PeerServer;
import io.jaywick.node.peer.PeerTraffic;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import reactor.netty.resources.LoopResources;

import static io.jaywick.node.relay.RelayFixture.request;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anyOf;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

/** Targets that send more than one response to a request. */
class TargetResponseMatchingTestCase {

    private static final long TIMEOUT_MILLIS = 10_000;

    /** Second copy of a response of a target, as it may follow the first one late. */
    private static final String COPY = "HTTP/1.1 200 OK\r\nStamp: s\r\nRequest-Id: a\r\nContent-Length: 2\r\n\r\nok";

    /** The first attempt of a call goes to either of two instances; the node refuses it for one of them. */
    private static final int MAX_CALLS_UNTIL_MISDIRECTED = 50;

    private RelayFixture fixture;

    @BeforeEach
    void start() throws IOException {
        fixture = new RelayFixture();
        fixture.publish(TIMEOUT_MILLIS);
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    private String call(String id) throws IOException {
        return fixture.exchange(request("POST", "/unsafe/1", id, ""));
    }

    /** Guards against second responses that no metric shows. */
    @Test
    void unmatchedResponsesAreCounted() throws IOException {
        fixture.target.script((request, out) -> {
            String response = FakeTarget.response(request, 200, "done");
            FakeTarget.write(out, COPY.replace("Request-Id: a\r\n", ""));
            FakeTarget.write(out, COPY);
            return FakeTarget.write(out, response + response);
        });
        assertThat(call("b"), endsWith("done"));
        assertThat(fixture.unmatchedResponses("no-request-id"), is(1.0));
        assertThat(fixture.unmatchedResponses("other-request"), is(1.0));
    }

    /** Guards against a status that is read from the first bytes of a cut second response of the request before. */
    @Test
    void cutCopyAfterAResponseDoesNotChangeTheNextOne() throws IOException {
        for (int length = 1; length < COPY.length(); length++) {
            String cutCopy = COPY.substring(0, length);
            fixture.target.script((request, out) -> request.header("Request-Id").equals("a")
                    ? FakeTarget.write(out, FakeTarget.response(request, 200, "done") + cutCopy)
                    : FakeTarget.write(out, FakeTarget.response(request, 500, "failed")));
            assertThat(call("a"), endsWith("done"));
            String response = call("b");
            assertThat(cutCopy, response, startsWith("HTTP/1.1 500 "));
            assertThat(cutCopy, response, endsWith("failed"));
        }
    }

    /** Guards against the same where the cut copy arrives after the next request was sent. */
    @Test
    void cutCopyInFrontOfAResponseDoesNotChangeItsStatus() throws IOException {
        for (int length = 1; length < COPY.length(); length++) {
            String cutCopy = COPY.substring(0, length);
            fixture.target.script((request, out) -> {
                FakeTarget.write(out, cutCopy + FakeTarget.response(request, 500, "failed"));
                return false;
            });
            assertThat(cutCopy, call("b"), anyOf(startsWith("HTTP/1.1 500 "), startsWith("HTTP/1.1 502 ")));
        }
    }

    /** Guards against a success whose body was cut and is completed by the bytes of its second response. */
    @Test
    void cutBodyIsNotCompletedByACopy() throws IOException {
        String body = "0123456789".repeat(6);
        for (int cut = 0; cut < body.length(); cut++) {
            int missing = body.length() - cut;
            fixture.target.script((request, out) -> {
                String response = FakeTarget.response(request, 200, body);
                FakeTarget.write(out, response.substring(0, response.length() - missing) + COPY);
                return false;
            });
            assertThat("missing " + missing, call("a"), startsWith("HTTP/1.1 502 "));
        }
    }

    /** Guards against a complete response that is lost because its body resembles the head of a response. */
    @Test
    void bodyWithAStatusLineIsDelivered() throws IOException {
        fixture.target.script((request, out) -> FakeTarget.write(out, FakeTarget.response(request, 200, COPY)));
        assertThat(call("a"), endsWith(COPY));
        fixture.target.script((request, out) -> {
            FakeTarget.write(out, FakeTarget.response(request, 200, "done") + COPY);
            return false;
        });
        assertThat(call("b"), endsWith("done"));
    }

    /** Guards against a late copy that is delivered in place of a failure that lacks the request id. */
    @Test
    void copyAfterAFailureWithoutIdIsNotDelivered() throws IOException {
        fixture.target.script((request, out) -> {
            FakeTarget.write(out, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return FakeTarget.write(out, COPY);
        });
        assertThat(call("a"), startsWith("HTTP/1.1 502 "));
    }

    /** Guards against a late copy that is delivered in place of a failure whose request id is cut or garbled. */
    @Test
    void copyAfterAFailureWithAnUnknownIdIsNotDelivered() throws IOException {
        fixture.target.script((request, out) -> {
            FakeTarget.write(
                    out, FakeTarget.response(request, 500, "failed").replace("Request-Id: ab", "Request-Id: a"));
            return FakeTarget.write(out, COPY.replace("Request-Id: a", "Request-Id: ab"));
        });
        assertThat(call("ab"), startsWith("HTTP/1.1 502 "));
    }

    /** Guards against a failure with an empty id that is taken for one of a health check on the same connection. */
    @Test
    void copyAfterAFailureWithAnEmptyIdIsNotDelivered() throws Exception {
        fixture.close();
        fixture = new RelayFixture();
        CountDownLatch checked = new CountDownLatch(1);
        fixture.target.healthScript((request, out) -> {
            FakeTarget.write(out, "HTTP/1.1 200 OK\r\nInstance: i-1\r\nContent-Length: 0\r\n\r\n");
            checked.countDown();
            return true;
        });
        fixture.publish(TIMEOUT_MILLIS);
        assertThat("the new target is checked", checked.await(20, TimeUnit.SECONDS), is(true));
        fixture.target.script((request, out) -> {
            FakeTarget.write(out, FakeTarget.response(request, 500, "failed").replace("Request-Id: a", "Request-Id: "));
            return FakeTarget.write(out, COPY);
        });
        assertThat(call("a"), startsWith("HTTP/1.1 502 "));
    }

    /** Guards against a success that is lost because a late copy of an earlier failure is in front of it. */
    @Test
    void successAfterACopyOfAnEarlierFailureIsDelivered() throws IOException {
        String failure = "HTTP/1.1 500 Some Reason\r\nRequest-Id: a\r\nStamp: s\r\nContent-Length: 6\r\n\r\nfailed";
        AtomicReference<Thread> connectionOfFailure = new AtomicReference<>();
        fixture.target.script((request, out) -> {
            if (request.header("Request-Id").equals("a")) {
                connectionOfFailure.set(Thread.currentThread());
                return FakeTarget.write(out, failure);
            }
            if (Thread.currentThread() != connectionOfFailure.get()) {
                String response = FakeTarget.response(request, 200, "other connection");
                return FakeTarget.write(out, response.replace("Stamp: s", "Stamp: s\r\nConnection: close"));
            }
            return FakeTarget.write(out, failure + FakeTarget.response(request, 200, "done"));
        });
        assertThat(call("a"), startsWith("HTTP/1.1 500 "));
        String response = call("b");
        if (response.endsWith("other connection")) {
            // The connection of a health check that ended after the first call, which is closed now.
            response = call("c");
        }
        assertThat(response, endsWith("done"));
    }

    /** Guards against a call that is reported as not executed although its first response, without an id, denies it. */
    @Test
    void promiseAfterAFailureWithoutIdIsNotBelieved() throws IOException {
        for (String promise : List.of("HTTP/1.1 421 ", "HTTP/1.1 503 ")) {
            fixture.target.script((request, out) -> {
                String failure = FakeTarget.response(request, 500, "failed").replace("Request-Id: a\r\n", "");
                FakeTarget.write(out, failure);
                return FakeTarget.write(
                        out,
                        FakeTarget.response(request, 503, "")
                                .replace("HTTP/1.1 503 ", promise)
                                .replace("Stamp: s", "Not-Executed: 1"));
            });
            assertThat(call("a"), startsWith("HTTP/1.1 502 "));
        }
    }

    /** Guards against a target whose cold time and instance are not known because a late copy was read instead. */
    @Test
    void copyWithoutIdIsNotReadAsAHealthResponse() throws Exception {
        CountDownLatch checked = new CountDownLatch(1);
        fixture.target.healthScript((request, out) -> {
            FakeTarget.write(out, COPY.replace("Request-Id: a\r\n", ""));
            FakeTarget.write(out, "HTTP/1.1 200 OK\r\nInstance: i-1\r\nContent-Length: 0\r\n\r\n");
            checked.countDown();
            return true;
        });
        fixture.target.script((request, out) -> false);
        assertThat(call("a"), startsWith("HTTP/1.1 502 "));
        assertThat("the lost connection leads to a check", checked.await(20, TimeUnit.SECONDS), is(true));
        fixture.target.script((request, out) -> FakeTarget.write(out, FakeTarget.response(request, 200, "done")));
        // The health response arrived before this call, so the node has read it.
        assertThat(call("b"), endsWith("done"));
        fixture.publishTwoAtOneAddress(TIMEOUT_MILLIS);
        for (int i = 0; i < 10; i++) {
            assertThat(call("c" + i), endsWith("done"));
        }
        assertThat(
                fixture.target.calls().stream()
                        .map(request -> request.header("Expect"))
                        .distinct()
                        .toList(),
                is(List.of("i-1")));
    }

    /** Guards against a late copy that is read as the response to a later attempt with the same request id. */
    @Test
    void copyOfAnEarlierResponseIsNotReadAsTheResponseToARepeatedId() throws IOException {
        fixture.target.script(new FirstThenCopy(
                request -> FakeTarget.response(request, 503, "").replace("Stamp: s", "Not-Executed: 1")));
        assertThat(call("a"), startsWith("HTTP/1.1 503 "));
        assertThat(call("a"), startsWith("HTTP/1.1 500 "));
    }

    /** Guards against the same within one call, which is sent again to another instance at the same address. */
    @Test
    void copyOfAMisdirectedResponseIsNotReadAsTheResponseToTheNextAttempt() throws IOException {
        fixture.publishTwoAtOneAddress(TIMEOUT_MILLIS);
        int failures = 0;
        for (int i = 0; failures == 0 && i < MAX_CALLS_UNTIL_MISDIRECTED; i++) {
            fixture.target.script(new FirstThenCopy(request -> FakeTarget.response(request, 421, "")
                    .replace(
                            "Stamp: s", "Instance: " + (request.header("Expect").equals("i-1") ? "i-2" : "i-1"))));
            String response = call("a" + i);
            assertThat(response, not(startsWith("HTTP/1.1 200 ")));
            failures += response.startsWith("HTTP/1.1 500 ") ? 1 : 0;
        }
        assertThat("the call reached the second instance", failures, is(1));
    }

    /** Guards against idle connections that add up, to more than a target accepts, because each has sent the id. */
    @Test
    void repeatedIdDoesNotAddToTheConnections() throws IOException {
        assertThat(call("b"), endsWith("ok"));
        int connections = 0;
        for (int i = 0; i < 5; i++) {
            assertThat(call("a"), endsWith("ok"));
            connections = i == 1 ? fixture.openTargetConnections() : connections;
        }
        assertThat(fixture.openTargetConnections(), is(connections));
    }

    /** Guards against an interim response that is delivered in place of the final one. */
    @Test
    void interimResponseIsNotDelivered() throws IOException {
        fixture.target.script((request, out) -> {
            FakeTarget.write(out, "HTTP/1.1 103 Early Hints\r\nRequest-Id: b\r\nStamp: s\r\n\r\n");
            return FakeTarget.write(out, FakeTarget.response(request, 500, "failed"));
        });
        assertThat(call("b"), startsWith("HTTP/1.1 500 "));
    }

    /** Guards against a node that replies with the response to another request. */
    @Test
    void responseOfANodeToAnotherRequestDoesNotReachTheCaller() throws IOException {
        String host = "127.0.0.4";
        FrameCodec codec = new FrameCodec();
        MessageHandlers handlers = new MessageHandlers();
        PeerEntry self = new PeerEntry("s4", "dc", "region", "other-service", "", "", 0, 0, false);
        handlers.register(
                Hello.class,
                message -> CompletableFuture.completedFuture(new Hello(codec.minVersion(), codec.maxVersion(), self)));
        handlers.register(
                ForwardCall.class,
                message -> CompletableFuture.completedFuture(new ForwardAnswer(
                        "ANSWERED",
                        "status-200",
                        200,
                        List.of(
                                "Request-Id",
                                ((ForwardCall) message).requestId().equals("a") ? "a" : "a2",
                                "Stamp",
                                "s"),
                        "done".getBytes(StandardCharsets.US_ASCII),
                        -1,
                        -1,
                        -1,
                        -1)));
        LoopResources loops = LoopResources.create("peer", 1, true);
        try (PeerServer peer = new PeerServer(
                fixture.peerAddress(host),
                handlers,
                codec,
                new PeerTraffic(),
                new LinkLimits(64, 1_000, 60_000, 60_000),
                loops)) {
            fixture.publishAt(host, TIMEOUT_MILLIS);
            assertThat(call("a"), endsWith("done"));
            assertThat(call("b"), startsWith("HTTP/1.1 502 "));
        } finally {
            loops.dispose();
        }
    }

    /** Answers the first request of each connection, and puts a copy in front of the failure of each later one. */
    private static final class FirstThenCopy implements FakeTarget.ResponseScript {

        private final Function<FakeTarget.ReceivedRequest, String> first;
        private OutputStream firstConnection;

        FirstThenCopy(Function<FakeTarget.ReceivedRequest, String> first) {
            this.first = first;
        }

        @Override
        public synchronized boolean respond(FakeTarget.ReceivedRequest request, OutputStream out) throws IOException {
            String failure = FakeTarget.response(request, 500, "failed");
            if (firstConnection == null) {
                firstConnection = out;
                return FakeTarget.write(out, first.apply(request));
            }
            String copy = COPY.replace("Request-Id: a", "Request-Id: " + request.header("Request-Id"));
            return FakeTarget.write(out, out == firstConnection ? copy + failure : failure);
        }
    }
}
