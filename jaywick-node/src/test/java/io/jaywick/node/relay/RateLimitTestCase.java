package io.jaywick.node.relay;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
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
}
