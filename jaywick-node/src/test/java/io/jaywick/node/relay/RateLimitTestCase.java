package io.jaywick.node.relay;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.startsWith;

/** Targets that name in their responses how many calls per second they accept, between nodes with real sockets. */
class RateLimitTestCase {

    private static final long TIMEOUT_MILLIS = 10_000;

    /** Shorter than the wait of a call that exceeds a limit, so that it is refused before the clock moves. */
    private static final long DEADLINE_MILLIS = 950;

    private static final long STEP_MILLIS = 1_000;
    private static final int CALLS_PER_SECOND = 40;
    private static final int LIMIT_PER_SECOND = 15;
    private static final int WINDOW_SECONDS = 4;
    private static final int MAX_CALLS = 20_000;

    private final List<Long> arrivalNanos = new CopyOnWriteArrayList<>();
    private RelayFixture fixture;
    private int calls;

    @BeforeEach
    void start() throws IOException {
        fixture = new RelayFixture();
        fixture.pauseClock();
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    private String call(Relay node) throws IOException {
        calls++;
        return RelayFixture.exchange(node, requestOf(calls, DEADLINE_MILLIS));
    }

    private static String requestOf(int number, long deadlineMillis) {
        return "POST /unsafe/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: id-" + number + "\r\nDeadline: "
                + deadlineMillis + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    }

    /** Makes the calls of one second after the other, each from the next node, and returns the responses. */
    private List<String> callFromAllNodes(int seconds) throws IOException {
        List<Relay> nodes = List.of(fixture.caller, fixture.targetNode, fixture.secondNode);
        List<String> responses = new ArrayList<>();
        for (int second = 0; second < seconds; second++) {
            for (int i = 0; i < CALLS_PER_SECOND; i++) {
                responses.add(call(nodes.get(i % nodes.size())));
            }
            fixture.advance(STEP_MILLIS);
        }
        return responses;
    }

    private boolean respond(FakeTarget.ReceivedRequest request, OutputStream out, String header) throws IOException {
        arrivalNanos.add(fixture.nanoTime());
        return FakeTarget.write(out, FakeTarget.response(request, 200, "ok").replace("Stamp: s", "Stamp: s" + header));
    }

    /** Returns the most calls that arrived within a window, of all windows that begin at or after the given time. */
    private int mostArrivals(long fromNanos, int windowSeconds) {
        int most = 0;
        for (long start : arrivalNanos) {
            long end = start + TimeUnit.SECONDS.toNanos(windowSeconds);
            int inWindow = (int) arrivalNanos.stream()
                    .filter(arrival -> arrival >= start && arrival < end)
                    .count();
            most = start >= fromNanos ? Math.max(most, inWindow) : most;
        }
        return most;
    }

    private static void assertIsRefusal(String response) {
        assertThat(response, startsWith("HTTP/1.1 503 "));
        assertThat(response.toLowerCase().contains("\r\nretry-after: "), is(true));
    }

    /** Guards against a target that receives more calls than the limit that it names, summed over all nodes (LIMIT). */
    @Test
    void targetReceivesNoMoreCallsThanItNames() throws IOException {
        fixture.publish(TIMEOUT_MILLIS);
        fixture.target.script((request, out) -> respond(request, out, ""));
        callFromAllNodes(1);
        assertThat("before the limit", arrivalNanos.size(), is(CALLS_PER_SECOND));

        fixture.target.script((request, out) -> respond(request, out, "\r\nLimit: " + LIMIT_PER_SECOND));
        call(fixture.caller);
        long namedNanos = fixture.nanoTime();
        fixture.advance(STEP_MILLIS);
        int before = arrivalNanos.size();
        List<String> responses = callFromAllNodes(3 * WINDOW_SECONDS);

        assertThat(mostArrivals(namedNanos + 1, WINDOW_SECONDS), lessThanOrEqualTo(LIMIT_PER_SECOND * WINDOW_SECONDS));
        int arrived = arrivalNanos.size() - before;
        assertThat("use of the limit", arrived, greaterThan((3 * WINDOW_SECONDS - 2) * LIMIT_PER_SECOND));
        List<String> refusals = responses.stream()
                .filter(response -> !response.startsWith("HTTP/1.1 200 "))
                .toList();
        assertThat("each call is answered or refused", refusals.size(), is(responses.size() - arrived));
        refusals.forEach(RateLimitTestCase::assertIsRefusal);
    }

    private void respondWith(String header) {
        fixture.target.script((request, out) -> respond(request, out, header));
    }

    /** Guards against a limit that outlasts the responses that name it. */
    @Test
    void limitEndsWithAResponseThatNamesNone() throws IOException {
        fixture.publish(TIMEOUT_MILLIS);
        respondWith("\r\nLimit: 0.5");
        assertThat(call(fixture.caller), startsWith("HTTP/1.1 200 "));
        assertThat(fixture.rateLimit(), is(0.5));
        assertIsRefusal(call(fixture.caller));
        respondWith("");
        fixture.advance(2 * STEP_MILLIS);
        for (int i = 0; i < 5; i++) {
            assertThat(call(fixture.caller), startsWith("HTTP/1.1 200 "));
        }
        assertThat(fixture.rateLimit(), is(Double.NaN));
    }

    /** Guards against a limit that is unknown because the target refuses the calls beyond it itself. */
    @Test
    void refusalOfTheTargetNamesTheLimit() throws IOException {
        fixture.publish(TIMEOUT_MILLIS);
        fixture.target.script((request, out) -> FakeTarget.write(
                out, FakeTarget.response(request, 503, "").replace("Stamp: s", "Not-Executed: 1\r\nOther-Limit: 7")));
        assertIsRefusal(call(fixture.caller));
        assertThat(fixture.rateLimit(), is(7.0));
    }

    /** Guards against the limit of another instance, which has replaced the expected one at the address. */
    @Test
    void responseOfAnotherInstanceIsIgnored() throws IOException {
        fixture.publish(TIMEOUT_MILLIS);
        fixture.target.script((request, out) -> FakeTarget.write(
                out,
                FakeTarget.response(request, 421, "")
                        .replace("Stamp: s", "Not-Executed: 1\r\nInstance: i-9\r\nLimit: 1")));
        assertIsRefusal(call(fixture.caller));
        assertThat(fixture.rateLimit(), is(Double.NaN));
    }

    /** Guards against the limit of a second copy of an earlier response, which arrives late. */
    @Test
    void secondCopyOfAResponseIsIgnored() throws IOException {
        fixture.publish(TIMEOUT_MILLIS);
        fixture.target.script((request, out) -> {
            String response = FakeTarget.response(request, 200, "ok");
            FakeTarget.write(
                    out,
                    response.replace("Request-Id: id-", "Request-Id: old-")
                            .replace("Stamp: s", "Stamp: s\r\nLimit: 1"));
            return FakeTarget.write(out, response.replace("Stamp: s", "Stamp: s\r\nLimit: 20"));
        });
        assertThat(call(fixture.caller), startsWith("HTTP/1.1 200 "));
        assertThat(fixture.rateLimit(), is(20.0));
    }

    /** Guards against a new instance that is limited by what its predecessor at the address named. */
    @Test
    void limitEndsWithItsInstance() throws IOException {
        fixture.publish(TIMEOUT_MILLIS);
        respondWith("\r\nLimit: 0.5");
        assertThat(call(fixture.caller), startsWith("HTTP/1.1 200 "));
        respondWith("");
        fixture.publishReplaced(TIMEOUT_MILLIS);
        assertThat(fixture.rateLimit(), is(Double.NaN));
        assertThat(call(fixture.caller), startsWith("HTTP/1.1 200 "));
    }

    /** Guards against calls that wait in vain, or come back too soon, when each instance has reached its limit. */
    @Test
    void callsAreRefusedAtOnceWhenAllInstancesAreLimited() throws IOException {
        fixture.publishBoth(TIMEOUT_MILLIS);
        respondWith("\r\nLimit: 1");
        fixture.secondTarget.script((request, out) -> respond(request, out, "\r\nLimit: 1"));
        assertThat(call(fixture.caller), startsWith("HTTP/1.1 200 "));
        assertThat(call(fixture.caller), startsWith("HTTP/1.1 200 "));
        String refused = call(fixture.caller).toLowerCase();
        assertIsRefusal(refused.replace("http/1.1", "HTTP/1.1"));
        assertThat(arrivalNanos.size(), is(2));
        double retryAfterSeconds = Double.parseDouble(refused.replaceAll("(?s).*retry-after: ([0-9.]+).*", "$1"));
        assertThat(retryAfterSeconds, greaterThanOrEqualTo(1.0));
        assertThat(fixture.refusedAttempts("rate-limited"), greaterThanOrEqualTo(1.0));
        fixture.advance(STEP_MILLIS);
        assertThat(call(fixture.caller), startsWith("HTTP/1.1 200 "));
    }

    /** Guards against a limit that a restarted node exceeds until it observes a response of its target. */
    @Test
    void nodeWithoutAResponseKnowsTheLimitFromTheNodesOfItsCallers() throws Exception {
        fixture.publish(TIMEOUT_MILLIS);
        respondWith("\r\nLimit: 1");
        assertThat(call(fixture.caller), startsWith("HTTP/1.1 200 "));
        fixture.advance(STEP_MILLIS);
        fixture.forgetInstanceAtTargetNode();
        assertThat(fixture.rateLimit(), is(Double.NaN));
        CountDownLatch arrived = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        fixture.target.script((request, out) -> {
            arrived.countDown();
            release.await(20, TimeUnit.SECONDS);
            return respond(request, out, "");
        });
        try (Socket first = fixture.connect()) {
            calls++;
            first.getOutputStream().write(requestOf(calls, TIMEOUT_MILLIS).getBytes(StandardCharsets.ISO_8859_1));
            assertThat(arrived.await(20, TimeUnit.SECONDS), is(true));
            assertThat(fixture.rateLimit(), is(1.0));
            assertIsRefusal(call(fixture.caller));
            release.countDown();
            assertThat(
                    new String(first.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1),
                    startsWith("HTTP/1.1 200 "));
        }
        assertThat("after the first response", fixture.rateLimit(), is(Double.NaN));
        assertThat(call(fixture.caller), startsWith("HTTP/1.1 200 "));
    }

    /** Guards against a limit that is exceeded by the first calls after a start of the node. */
    @Test
    void healthResponseNamesTheLimit() throws IOException {
        fixture.target.healthScript((request, out) ->
                FakeTarget.write(out, "HTTP/1.1 200 OK\r\nInstance: i-1\r\nLimit: 3.5\r\nContent-Length: 0\r\n\r\n"));
        fixture.publish(TIMEOUT_MILLIS);
        for (int i = 0; Double.isNaN(fixture.rateLimit()); i++) {
            assertThat("calls until the check is answered", i, lessThanOrEqualTo(MAX_CALLS));
            RelayFixture.exchange(
                    fixture.caller, "GET /none HTTP/1.1\r\nHost: x\r\nRequest-Id: n\r\n" + "Connection: close\r\n\r\n");
        }
        assertThat(fixture.rateLimit(), is(3.5));
    }
}
