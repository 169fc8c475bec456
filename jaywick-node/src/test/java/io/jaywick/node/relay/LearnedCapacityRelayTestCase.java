package io.jaywick.node.relay;

import java.io.DataInputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.jaywick.core.message.ForwardAnswer;
import io.jaywick.core.message.ForwardCall;
import io.jaywick.core.message.Hello;
import io.jaywick.core.message.PeerEntry;
import io.jaywick.node.frame.FrameCodec;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

class LearnedCapacityRelayTestCase {

    private static final long TIMEOUT_MILLIS = 5_000;

    /** Calls from which the service time of a route is known, and a few more. */
    private static final int CALLS = 6;

    private static ForwardCall call(String id) {
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
                TIMEOUT_MILLIS,
                TIMEOUT_MILLIS,
                false,
                false,
                false,
                false,
                "");
    }

    private static List<ForwardAnswer> answers(RelayFixture fixture) throws Exception {
        FrameCodec codec = new FrameCodec();
        List<ForwardAnswer> answers = new ArrayList<>();
        try (Socket peer = fixture.connectAsPeer()) {
            PeerEntry self = new PeerEntry("peer", "dc", "region", "service", "", "", 0, 0, false);
            Hello hello = new Hello(codec.minVersion(), codec.maxVersion(), self);
            peer.getOutputStream().write(codec.encode(codec.maxVersion(), 0, hello));
            DataInputStream in = new DataInputStream(peer.getInputStream());
            while (answers.size() < CALLS) {
                int next = answers.size() + 1;
                peer.getOutputStream().write(codec.encode(codec.maxVersion(), next, call("id-" + next)));
                while (answers.size() < next) {
                    byte[] frame = in.readNBytes(in.readInt());
                    if (codec.decode(frame).message() instanceof ForwardAnswer answer) {
                        answers.add(answer);
                    }
                }
            }
        }
        return answers;
    }

    /** Guards against callers that cannot tell a fast server from a slow one, because its node reports no service time. */
    @Test
    void answersCarryTheServiceTimeOfTheRouteAndTheLimit() throws Exception {
        try (RelayFixture fixture = new RelayFixture()) {
            fixture.publish(TIMEOUT_MILLIS);
            List<ForwardAnswer> answers = answers(fixture);
            assertThat(answers.get(0).serviceMillis(), is(-1L));
            assertThat(answers.get(CALLS - 1).serviceMillis(), greaterThan(0L));
            assertThat(answers.get(CALLS - 1).concurrencyLimit(), is((long) RelayFixture.SLOTS));
        }
    }

    /** Guards against a server that is taken to be fast because its node is a failing one or answers with errors. */
    @Test
    void failuresAreNoServiceTimes() throws Exception {
        try (RelayFixture fixture = new RelayFixture()) {
            fixture.target.script((request, out) -> FakeTarget.write(out, FakeTarget.response(request, 500, "failed")));
            fixture.publish(TIMEOUT_MILLIS);
            assertThat(answers(fixture).get(CALLS - 1).serviceMillis(), is(-1L));
        }
    }

    /** Guards against a node of the previous version, whose answers lack the fields, that is ranked as the fastest. */
    @Test
    void absentFieldsAreUnknown() {
        ForwardAnswer previousVersion =
                new ForwardAnswer("ANSWERED", "status-200", 200, List.of(), new byte[0], 20, 0, 0, 0);
        PeerCalls calls = new PeerCalls(
                (address, message) -> CompletableFuture.completedFuture(previousVersion),
                (call, onResult) -> () -> {},
                null);
        List<CallResult> results = new ArrayList<>();
        calls.targetAt("127.0.0.1:1").send(call("a"), results::add);
        assertThat(results.get(0).serviceMillis(), is(-1L));
        assertThat(results.get(0).concurrencyLimit(), is(-1L));
        assertThat(results.get(0).expectedMillis(), is(20L));
    }
}
