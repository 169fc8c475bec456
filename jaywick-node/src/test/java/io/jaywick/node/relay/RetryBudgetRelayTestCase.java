package io.jaywick.node.relay;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static io.jaywick.node.relay.RelayFixture.request;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

/** The retry budget as the nodes use it. */
class RetryBudgetRelayTestCase {

    private static final long TIMEOUT_MILLIS = 10_000;

    /** More than a node's part of the budget of the fixture. */
    private static final long NESTED_CALLS = 60;

    private RelayFixture fixture;

    @BeforeEach
    void start() throws IOException {
        fixture = new RelayFixture();
        fixture.publishBoth(TIMEOUT_MILLIS);
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    private static boolean shed(FakeTarget.ReceivedRequest request, OutputStream out) throws IOException {
        return FakeTarget.write(out, FakeTarget.response(request, 503, "").replace("Stamp: s", "Not-Executed: 1"));
    }

    /** Guards against repeats beyond the budget whose origin no metric shows. */
    @Test
    void useOfTheBudgetIsCounted() throws IOException {
        fixture.target.script(RetryBudgetRelayTestCase::shed);
        fixture.secondTarget.script(RetryBudgetRelayTestCase::shed);
        assertThat(fixture.exchange(request("GET", "/safe/1", "a", "")), startsWith("HTTP/1.1 503 "));
        assertThat(fixture.retryBudgetEvents("earned"), is(1L));
        assertThat(fixture.retryBudgetEvents("withdrawn"), is(1L));
        assertThat(fixture.retryBudgetEvents("denied"), is(0L));
        assertThat(fixture.nodesSharingRetryBudget(), is(2L));
    }

    /**
     * Guards against repeats beyond the budget after a mass crash of targets: their entries expired, and the nodes that
     * remained beside them divided the allowance among fewer.
     */
    @Test
    void partOfTheAllowanceDoesNotGrowWhenTargetsAreNoLongerListed() throws IOException {
        assertThat(fixture.exchange(request("GET", "/safe/1", "a", "")), startsWith("HTTP/1.1 200 "));
        fixture.publish(TIMEOUT_MILLIS);
        assertThat(fixture.exchange(request("GET", "/safe/1", "b", "")), startsWith("HTTP/1.1 200 "));
        assertThat(fixture.nodesSharingRetryBudget(), is(2L));
    }

    /** Fails a request after it has made calls through the node of its target; the calls succeed. */
    private static FakeTarget.ResponseScript failingAfterNestedCalls(Relay node) {
        return (request, out) -> {
            boolean isNested = request.requestLineAndHeaders().contains("/unsafe/");
            for (int i = 0; i < NESTED_CALLS && !isNested; i++) {
                call(node.outboundAddress(), request("POST", "/unsafe/1", request.header("Request-Id") + "." + i, ""));
            }
            return FakeTarget.write(out, FakeTarget.response(request, isNested ? 200 : 500, ""));
        };
    }

    private static void call(InetSocketAddress address, String request) throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            socket.getInputStream().readAllBytes();
        }
    }

    private long arrivals(String path) {
        return Stream.of(fixture.target, fixture.secondTarget)
                .flatMap(target -> target.calls().stream())
                .filter(received -> received.requestLineAndHeaders().contains(path))
                .count();
    }

    /**
     * Guards against calls of repeated executions that exceed the budget of the service called, because no node withdrew
     * them and they earned further retries.
     */
    @Test
    void repeatedExecutionIsRefusedWhenItsCallsExceedTheBudget() throws IOException {
        fixture.target.script(failingAfterNestedCalls(fixture.targetNode));
        fixture.secondTarget.script(failingAfterNestedCalls(fixture.secondNode));
        assertThat(fixture.exchange(request("GET", "/safe/first", "a", "")), startsWith("HTTP/1.1 500 "));
        assertThat("nothing is known of the calls yet", arrivals("/safe/first"), is(2L));
        assertThat("earned by the first execution", fixture.retryBudgetEventsOfTargets("earned"), is(NESTED_CALLS));

        assertThat(fixture.exchange(request("GET", "/safe/second", "b", "")), startsWith("HTTP/1.1 500 "));
        assertThat(arrivals("/safe/second"), is(1L));
        assertThat(fixture.retryBudgetEvents("withdrawn"), is(2L));
        assertThat(fixture.retryBudgetEventsOfTargets("nested"), is(0L));
        assertThat(fixture.retryBudgetEventsOfTargets("nested-denied"), is(NESTED_CALLS));
    }

    /** Guards against retries that are refused although the budget covers the calls of their executions. */
    @Test
    void repeatedExecutionsWithoutNestedCallsAreAccepted() throws IOException {
        fixture.target.script((request, out) -> FakeTarget.write(out, FakeTarget.response(request, 500, "")));
        fixture.secondTarget.script((request, out) -> FakeTarget.write(out, FakeTarget.response(request, 500, "")));
        for (int i = 1; i <= 3; i++) {
            assertThat(fixture.exchange(request("GET", "/safe/1", "a" + i, "")), startsWith("HTTP/1.1 500 "));
            assertThat(arrivals("/safe/1"), is(2L * i));
        }
    }

    /**
     * Guards against retries of calls made for running requests that are bounded as those of other calls (srv_grey at the
     * service called): the requests fail with 500 after they have used a slot.
     */
    @Test
    void retriesOfCallsForRunningRequestsTakePrecedence() throws IOException {
        for (FakeTarget target : List.of(fixture.target, fixture.secondTarget)) {
            Relay node = target == fixture.target ? fixture.targetNode : fixture.secondNode;
            target.script((request, out) -> {
                if (request.requestLineAndHeaders().contains("/nested")) {
                    return shed(request, out);
                }
                call(
                        node.outboundAddress(),
                        request("POST", "/unsafe/nested", request.header("Request-Id") + ".1", ""));
                return FakeTarget.write(out, FakeTarget.response(request, 500, ""));
            });
        }
        assertThat(fixture.exchange(request("POST", "/unsafe/outer", "a", "")), startsWith("HTTP/1.1 500 "));
        assertThat(fixture.retryBudgetEventsOfTargets("withdrawn-for-running"), is(1L));
        assertThat(fixture.retryBudgetEventsOfTargets("withdrawn"), is(0L));
    }
}
