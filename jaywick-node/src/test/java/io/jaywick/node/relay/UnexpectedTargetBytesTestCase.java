package io.jaywick.node.relay;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;

import io.jaywick.node.http.RawHttpServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static io.jaywick.node.relay.RelayFixture.request;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anyOf;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

/** Bytes of a target beside its responses: none of them may change the response that a caller gets. */
class UnexpectedTargetBytesTestCase {

    private static final long TIMEOUT_MILLIS = 10_000;

    private static final String STAMPED = "Stamp: s\r\nRequest-Id: a\r\n";

    /** Bytes that do not keep the decoder from finding the end of a message, so that a response may follow. */
    private static final List<String> SELF_DELIMITING = List.of(
            "HTTP/1.1 200 OK\r\nStamp: s\r\nContent-Length: 2\r\n\r\nok",
            "HTTP/1.1 200 OK\r\n" + STAMPED + "Content-Length: 2\r\n\r\nok",
            "HTTP/1.1 200 OK\r\n" + STAMPED + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nRequest-Id: b\r\n\r\n",
            "HTTP/1.1 204 No Content\r\n" + STAMPED + "\r\n",
            "\r\n\r\n");

    private static final List<String> OTHER = List.of(
            "HTTP/1.1 200 OK\r\nno colon here\r\n\r\n",
            "HTTP/1.1 OK 200\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok",
            "HTTP/1.1 200 OK\r\n" + STAMPED + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok",
            "HTTP/1.1 200 OK\r\n" + STAMPED + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nok",
            "HTTP/1.1 200 OK\r\n" + STAMPED + "Transfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n",
            "HTTP/1.1 200 OK\r\n" + STAMPED + "Transfer-Encoding: chunked\r\n\r\n5\r\nok",
            "HTTP/1.1 200 OK\r\n" + STAMPED + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
            "HTTP/1.1 200 OK\r\n" + STAMPED + "Content-Length: 40\r\n\r\nok",
            "HTTP/1.1 200 OK\r\n" + STAMPED + "Folded: x\r\n ",
            "HTTP/1.1 200 OK\r\n" + STAMPED + "Folded: x\r\n\t",
            "HTTP/1.1 200 \r",
            "HTTP/1.1 200 OK\n",
            "HTTP/1.1 200 OK\r\nRequest-Id : b\r\nStamp : s\r\n",
            "HTTP/1.1 200 OK\r\nX");

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

    private String call(String method, String id) throws IOException {
        return fixture.exchange(request(method, "/unsafe/1", id, ""));
    }

    private static List<String> allBytes() {
        List<String> all = new ArrayList<>(SELF_DELIMITING);
        all.addAll(OTHER);
        Random random = new Random(1);
        for (int i = 0; i < 20; i++) {
            StringBuilder bytes = new StringBuilder();
            for (int j = 0; j < 24; j++) {
                bytes.append((char) random.nextInt(256));
            }
            all.add(bytes + "\r\n\r\n");
            all.add(bytes.toString());
        }
        return all;
    }

    /** Guards against bytes after a response that become part of the next one. */
    @Test
    void bytesAfterAResponseDoNotChangeTheNextOne() throws IOException {
        for (String method : List.of("POST", "HEAD")) {
            for (String surplus : allBytes()) {
                fixture.target.script(
                        (request, out) -> request.header("Request-Id").equals("a")
                                ? FakeTarget.write(out, FakeTarget.response(request, 200, "") + surplus)
                                : FakeTarget.write(out, FakeTarget.response(request, 500, "")));
                assertThat(surplus, call(method, "a"), startsWith("HTTP/1.1 200 "));
                assertThat(surplus, call(method, "b"), startsWith("HTTP/1.1 500 "));
            }
        }
    }

    /** Guards against bytes in front of a response that change its status, or make a success of a failure. */
    @Test
    void bytesInFrontOfAResponseDoNotChangeIt() throws IOException {
        for (String surplus : allBytes()) {
            fixture.target.script((request, out) -> {
                FakeTarget.write(out, surplus + FakeTarget.response(request, 500, "failed"));
                return false;
            });
            String response = call("POST", "b");
            assertThat(surplus, response, anyOf(startsWith("HTTP/1.1 500 "), startsWith("HTTP/1.1 502 ")));
            if (response.startsWith("HTTP/1.1 500 ")) {
                assertThat(surplus, response, endsWith("\r\n\r\nfailed"));
            } else {
                assertThat(surplus, SELF_DELIMITING.contains(surplus), is(false));
            }
        }
    }

    /** Guards against a call that waits for its deadline although its connection can no longer bring the response. */
    @Test
    void responseWithoutLengthToAnotherRequestEndsTheCall() throws IOException {
        fixture.target.script((request, out) -> FakeTarget.write(
                out, "HTTP/1.1 200 OK\r\nno colon here\r\n\r\n" + FakeTarget.response(request, 500, "failed")));
        assertThat(call("POST", "b"), startsWith("HTTP/1.1 502 "));
    }

    /** Guards against a call that waits for its deadline because the decoder reads all further bytes as another protocol. */
    @Test
    void switchOfTheProtocolEndsTheCall() throws IOException {
        fixture.target.script((request, out) -> FakeTarget.write(
                out,
                "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n"
                        + FakeTarget.response(request, 500, "failed")));
        assertThat(call("POST", "b"), startsWith("HTTP/1.1 502 "));
    }

    /** Guards against a response to a caller that no client of HTTP/1.1 can read. */
    @Test
    void statusOrVersionThatIsNotOfHttp1IsNotDelivered() throws IOException {
        List<String> starts = new ArrayList<>(List.of("HTTP/2.0 200 ", "HTTP/0.9 200 "));
        RawHttpServer.INVALID_STATUSES.forEach(status -> starts.add("HTTP/1.1 " + status + " "));
        for (String start : starts) {
            fixture.target.script((request, out) -> FakeTarget.write(
                    out, FakeTarget.response(request, 200, "ok").replace("HTTP/1.1 200 ", start)));
            assertThat(start, call("POST", "b"), startsWith("HTTP/1.1 502 "));
        }
    }

    /** Guards against an interim response that reaches a caller: after the final one, or because no final one follows. */
    @Test
    void interimResponsesAreNotDelivered() throws IOException {
        for (int status : List.of(100, 102, 103, 199)) {
            fixture.target.script((request, out) -> FakeTarget.write(
                    out,
                    FakeTarget.response(request, 500, "failed")
                            + FakeTarget.response(request, status, "").replace("Content-Length: 0\r\n", "")));
            assertThat("after the final one", call("POST", "a" + status), startsWith("HTTP/1.1 500 "));
            fixture.target.script((request, out) -> {
                FakeTarget.write(out, FakeTarget.response(request, status, "ok"));
                return false;
            });
            assertThat("the only one", call("POST", "b" + status), startsWith("HTTP/1.1 502 "));
        }
    }

    /** Guards against a chunked success that was cut and ends with the last chunk of the target's second response. */
    @Test
    void cutChunkIsNotCompletedByAChunkedCopy() throws IOException {
        String copy = "HTTP/1.1 200 OK\r\n" + STAMPED + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n";
        String head = copy.substring(0, copy.indexOf("2\r\nok"));
        String body = "x".repeat(160);
        for (int cut = 0; cut < body.length(); cut++) {
            String cutResponse = head + Integer.toHexString(body.length()) + "\r\n" + body.substring(0, cut);
            fixture.target.script((request, out) -> {
                FakeTarget.write(out, cutResponse + copy);
                return false;
            });
            assertThat("cut at " + cut, call("POST", "a"), startsWith("HTTP/1.1 502 "));
        }
    }

    /** Guards against a complete chunked response that is lost because its body resembles a response. */
    @Test
    void chunkedBodyWithAResponseIsDelivered() throws IOException {
        for (String body : SELF_DELIMITING) {
            String chunks = "\r\n\r\n" + Integer.toHexString(body.length()) + "\r\n" + body + "\r\n0\r\n\r\n";
            fixture.target.script((request, out) ->
                    FakeTarget.write(out, "HTTP/1.1 200 OK\r\n" + STAMPED + "Transfer-Encoding: chunked" + chunks));
            assertThat(call("POST", "a"), endsWith("\r\n\r\n" + body));
        }
    }

    /** Guards against idle connections that are given up because a target sent bytes that are no response. */
    @Test
    void malformedResponseDoesNotShortenTheReuseOfIdleConnections() throws IOException {
        fixture.target.script((request, out) -> request.header("Request-Id").equals("b")
                ? FakeTarget.write(out, "HTTP/1.1 OK 200\r\n\r\n")
                : FakeTarget.write(out, FakeTarget.response(request, 200, "done")));
        assertThat(call("POST", "a"), endsWith("done"));
        fixture.advance(1_000);
        assertThat(call("POST", "b"), startsWith("HTTP/1.1 502 "));
        assertThat(call("POST", "c"), endsWith("done"));
        int connections = fixture.target.connections();
        fixture.advance(600);
        assertThat(call("POST", "d"), endsWith("done"));
        assertThat(fixture.target.connections(), is(connections));
    }

    /** Guards against a new connection after each response that has no body and therefore no length. */
    @Test
    void responseWithoutABodyKeepsItsConnection() throws IOException {
        fixture.target.script((request, out) ->
                FakeTarget.write(out, FakeTarget.response(request, 204, "").replace("Content-Length: 0\r\n", "")));
        assertThat(call("POST", "a"), startsWith("HTTP/1.1 204 "));
        int connections = fixture.target.connections();
        assertThat(call("POST", "b"), startsWith("HTTP/1.1 204 "));
        assertThat(fixture.target.connections(), is(connections));
    }

    /** Guards against a response that looks complete because the node itself closed the connection. */
    @Test
    void responseCutByTheEndOfTheNodeIsNotComplete() throws Exception {
        CountDownLatch started = new CountDownLatch(1);
        CountDownLatch ended = new CountDownLatch(1);
        fixture.target.script((request, out) -> {
            FakeTarget.write(out, "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nStamp: s\r\n\r\nfirst part");
            started.countDown();
            ended.await();
            return false;
        });
        Thread closer = new Thread(() -> {
            try {
                started.await();
                fixture.targetNode.close();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        closer.start();
        try {
            assertThat(call("POST", "a"), not(startsWith("HTTP/1.1 200 ")));
        } finally {
            ended.countDown();
            closer.join();
        }
    }
}
