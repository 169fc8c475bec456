package io.jaywick.node.relay;

import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class CallAnswersTestCase {

    private final CallAnswers answers = new CallAnswers(new Random(3));

    /** Guards against a promise that a call has not run after a target lost it. */
    @Test
    void callThatMayHaveRunIsNotCalledRefused() {
        assertThat(answers.failure("overloaded").status(), is(503));
        answers.mayHaveRun();
        assertThat(answers.failure("connection-reset").status(), is(502));
        assertThat(answers.reason(), is("connection-reset"));
    }

    @Test
    void answerOfATargetGoesBeforeOwnOnes() {
        answers.failed(CallResult.answered(500, List.of("A", "b"), new byte[0]));
        answers.mayHaveRun();
        assertThat(answers.failure("overloaded").status(), is(500));
        assertThat(answers.reason(), is("target-answered"));
    }

    /** Guards against callers that come back before any instance expects to have room, or all at once. */
    @Test
    void refusedCallersReturnWhenAnInstanceExpectsRoom() {
        answers.expects(700);
        answers.expects(400);
        answers.expects(CallResult.refused("leaving").expectedMillis());
        for (int i = 0; i < 100; i++) {
            assertThat(
                    answers.refusal("overloaded").retryAfterMillis(),
                    allOf(greaterThanOrEqualTo(400L), lessThanOrEqualTo(600L)));
        }
    }

    /** Guards against a line that does not tell a target's own failure from one of the node. */
    @Test
    void reasonTellsWhoAnswered() {
        answers.passedOn(CallResult.answered(504, List.of(), new byte[0]));
        assertThat(answers.reason(), is("target-answered"));
        assertThat(answers.timedOut().status(), is(504));
        assertThat(answers.reason(), is("deadline"));
    }
}
