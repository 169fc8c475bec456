package io.jaywick.node.relay;

import java.io.IOException;
import java.io.OutputStream;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static io.jaywick.node.relay.RelayFixture.request;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
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
}
