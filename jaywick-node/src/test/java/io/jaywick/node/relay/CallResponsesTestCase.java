package io.jaywick.node.relay;

import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class CallResponsesTestCase {

    private final CallResponses responses = new CallResponses(new Random(3));

    /** Guards against reporting a call as not executed after a target lost it. */
    @Test
    void possiblyExecutedCallIsNotReportedAsRefused() {
        assertThat(responses.failure("overloaded").status(), is(503));
        responses.markMayHaveExecuted();
        assertThat(responses.failure("connection-reset").status(), is(502));
        assertThat(responses.reason(), is("connection-reset"));
    }

    @Test
    void targetResponseTakesPrecedenceOverGeneratedOnes() {
        responses.recordTargetFailure(CallResult.answered(500, List.of("A", "b"), new byte[0]));
        responses.markMayHaveExecuted();
        assertThat(responses.failure("overloaded").status(), is(500));
        assertThat(responses.reason(), is("target-answered"));
    }

    /** Guards against callers that retry before any instance expects to have capacity, or all at once. */
    @Test
    void retryAfterFollowsTheShortestExpectedWait() {
        responses.recordExpectedWait(700);
        responses.recordExpectedWait(400);
        responses.recordExpectedWait(CallResult.refused("leaving").expectedMillis());
        for (int i = 0; i < 100; i++) {
            assertThat(
                    responses.refusal("overloaded").retryAfterMillis(),
                    allOf(greaterThanOrEqualTo(400L), lessThanOrEqualTo(600L)));
        }
    }

    /** Guards against a log line that does not distinguish a failure of the target from one of the node. */
    @Test
    void reasonDistinguishesTargetFromNode() {
        responses.ofTarget(CallResult.answered(504, List.of(), new byte[0]));
        assertThat(responses.reason(), is("target-answered"));
        assertThat(responses.timeout().status(), is(504));
        assertThat(responses.reason(), is("deadline"));
    }
}
