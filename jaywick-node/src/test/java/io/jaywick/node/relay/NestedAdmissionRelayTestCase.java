package io.jaywick.node.relay;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.startsWith;

/** Requests whose executions call a service that has no capacity, as the nodes treat them. */
class NestedAdmissionRelayTestCase {

    private static final long TIMEOUT_MILLIS = 10_000;

    /** Enough for a decision in each interval. */
    private static final int NESTED_CALLS = 10;

    private static final int MAX_REQUESTS = 200;

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

    /** Responds to a request after it has made calls through the node of its target. */
    private static FakeTarget.ResponseScript callingFirst(Relay node, FakeTarget.ResponseScript nestedScript) {
        return (request, out) -> {
            if (!request.requestLineAndHeaders().contains("/outer")) {
                return nestedScript.respond(request, out);
            }
            for (int i = 0; i < NESTED_CALLS; i++) {
                call(node.outboundAddress(), request("POST", "/unsafe/nested", request.header("Request-Id") + "." + i));
            }
            return FakeTarget.write(out, FakeTarget.response(request, 500, ""));
        };
    }

    private static String request(String method, String path, String id) {
        return RelayFixture.request(method, path, id, "");
    }

    private static void call(InetSocketAddress address, String request) throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            socket.getInputStream().readAllBytes();
        }
    }

    private void script(FakeTarget.ResponseScript nestedScript) {
        fixture.target.script(callingFirst(fixture.targetNode, nestedScript));
        fixture.secondTarget.script(callingFirst(fixture.secondNode, nestedScript));
    }

    private static boolean shed(FakeTarget.ReceivedRequest request, OutputStream out) throws IOException {
        return FakeTarget.write(out, FakeTarget.response(request, 503, "").replace("Stamp: s", "Not-Executed: 1"));
    }

    private String outerCall(String id) throws IOException {
        fixture.advance(600);
        return fixture.exchange(request("POST", "/unsafe/outer", id));
    }

    private long arrivals(String id) {
        return Stream.of(fixture.target, fixture.secondTarget)
                .flatMap(target -> target.calls().stream())
                .filter(received -> received.header("Request-Id").equals(id))
                .count();
    }

    /**
     * Guards against requests that fail with 500 after their calls found no capacity (a called service under heavy
     * load), and against attempts at each instance for a request that all refuse.
     */
    @Test
    void requestIsRefusedBeforeItStartsWhileItsCallsFindNoCapacity() throws IOException {
        script(NestedAdmissionRelayTestCase::shed);
        int number = 0;
        double attemptsBefore;
        String response;
        do {
            number++;
            assertThat("requests until one is refused", number, is(lessThan(MAX_REQUESTS)));
            attemptsBefore = fixture.refusedAttempts("nested-capacity");
            response = outerCall("a" + number);
        } while (response.startsWith("HTTP/1.1 500 "));
        assertThat(response, startsWith("HTTP/1.1 503 "));
        assertThat(response.toLowerCase(Locale.ROOT), containsString("retry-after: "));
        assertThat(arrivals("a" + number), is(0L));
        assertThat(fixture.refusedAttempts("nested-capacity") - attemptsBefore, is(2.0));
    }

    /** Guards against requests that are refused because a service called fails, which fewer requests do not mend. */
    @Test
    void failuresOfTheServiceCalledRefuseNothing() throws IOException {
        script((request, out) -> FakeTarget.write(out, FakeTarget.response(request, 500, "")));
        for (int i = 0; i < 10; i++) {
            assertThat(outerCall("a" + i), startsWith("HTTP/1.1 500 "));
        }
        assertThat(fixture.refusedAttempts("nested-capacity"), is(0.0));
    }
}
