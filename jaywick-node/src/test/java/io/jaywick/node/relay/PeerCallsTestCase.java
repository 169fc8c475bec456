package io.jaywick.node.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import io.jaywick.core.message.ForwardAnswer;
import io.jaywick.core.message.ForwardCall;
import io.jaywick.core.message.ForwardCancel;
import io.jaywick.core.message.Message;
import io.jaywick.node.peer.MessageHandlers;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

class PeerCallsTestCase {

    private final List<Consumer<CallResult>> results = new ArrayList<>();
    private final List<Integer> cancelled = new ArrayList<>();
    private final MessageHandlers handlers = new MessageHandlers();

    private static ForwardCall call(String requestId) {
        return new ForwardCall(
                "127.0.0.2-1",
                requestId,
                "GET",
                "/",
                List.of(),
                new byte[0],
                "service",
                "i-1",
                "route",
                true,
                0,
                1_000,
                1_000,
                false,
                false,
                false,
                false,
                "");
    }

    private static CallResult resultOf(String outcome, int status) {
        PeerCalls calls = new PeerCalls(
                (address, message) -> CompletableFuture.completedFuture(new ForwardAnswer(
                        outcome, "status-" + status, status, List.of("Stamp", "s"), new byte[0], 7, 8, -1, -1)),
                null,
                new RelayLog(System.getLogger("test"), () -> 0L));
        List<CallResult> received = new ArrayList<>();
        calls.targetAt("127.0.0.3:1").send(call("a"), received::add);
        assertThat(received.size(), is(1));
        return received.get(0);
    }

    /** Guards against a status in the answer of a node that no response to a caller may have. */
    @Test
    void answerOfANodeWithAnInvalidStatusCountsAsLost() {
        for (int status : List.of(-200, -1, 0, 7, 20, 99, 100, 101, 103, 199, 600, 999, 2_000, Integer.MAX_VALUE)) {
            assertThat("" + status, resultOf("ANSWERED", status).outcome(), is(CallResult.Outcome.LOST));
            assertThat("" + status, resultOf("ANSWERED", status).status(), is(0));
        }
        for (int status : List.of(200, 204, 304, 421, 500, 599)) {
            assertThat(resultOf("ANSWERED", status).status(), is(status));
        }
        assertThat(resultOf("SHED", 0).outcome(), is(CallResult.Outcome.SHED));
    }

    /**
     * Guards against a call that cannot be cancelled, and is not waited for at the end of the node, because a call with
     * the same id from before a restart of its sender has ended.
     */
    @Test
    void endOfACallFromBeforeARestartLeavesTheCallWithTheSameId() {
        PeerCalls calls = new PeerCalls(
                null,
                (call, onResult) -> {
                    int number = results.size();
                    results.add(onResult);
                    return () -> cancelled.add(number);
                },
                null);
        calls.register(handlers);
        CompletableFuture<Message> before = handlers.handle(call("a"));
        CompletableFuture<Message> after = handlers.handle(call("b"));
        results.get(0).accept(CallResult.lost("connection-closed"));
        assertThat(before.isDone(), is(true));
        assertThat(after.isDone(), is(false));
        assertThat("calls in flight", calls.accepted(), is(1));
        handlers.handle(new ForwardCancel("127.0.0.2-1"));
        assertThat(cancelled, contains(1));
    }
}
