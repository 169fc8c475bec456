package io.jaywick.node.relay;

import java.util.Random;

/**
 * What the caller of one call is told when no target answered it well. A refusal promises that the call has not run; it
 * is given only while that is certain.
 */
final class CallAnswers {

    /** Least and greatest wait that a refused caller is told; its own deadlines are of about one second and more. */
    private static final long MIN_RETRY_AFTER_MILLIS = 100;

    private static final long MAX_RETRY_AFTER_MILLIS = 1_000;

    private final Random random;
    private boolean mayHaveRun;
    private CallResult failure;
    private long leastExpectedMillis = -1;
    private String reason = "";

    CallAnswers(Random random) {
        this.random = random;
    }

    /** Notes that the call may have run, or may still run. */
    void mayHaveRun() {
        mayHaveRun = true;
    }

    /** Whether the call certainly has not run at a target whose answer is unknown. */
    boolean isNotRun() {
        return !mayHaveRun;
    }

    /** Notes the failure that a target answered; it is passed on when nothing better comes. */
    void failed(CallResult answer) {
        failure = answer;
    }

    /** Notes the time that an instance expects to need which does not take the call; -1 when it is not known. */
    void expects(long millis) {
        if (millis >= 0) {
            leastExpectedMillis = leastExpectedMillis < 0 ? millis : Math.min(leastExpectedMillis, millis);
        }
    }

    /** Why the answer was given, for the line that explains it. */
    String reason() {
        return reason;
    }

    /** Passes on what a target answered. */
    ClientAnswer passedOn(CallResult answer) {
        reason = "target-answered";
        return new ClientAnswer(answer.status(), answer.headers(), answer.body(), 0);
    }

    /** The answer at the deadline of a call that may have run. */
    ClientAnswer timedOut() {
        reason = "deadline";
        return ClientAnswer.own(ClientAnswer.GATEWAY_TIMEOUT, reason, 0);
    }

    /** The answer when the call cannot go on. */
    ClientAnswer failure(String why) {
        if (failure != null) {
            reason = "target-answered";
            return new ClientAnswer(failure.status(), failure.headers(), failure.body(), 0);
        }
        reason = why;
        return mayHaveRun ? ClientAnswer.own(ClientAnswer.BAD_GATEWAY, why, 0) : refusal(why);
    }

    /** The answer to a call that has not run; it tells when an instance may have room. */
    ClientAnswer refusal(String why) {
        reason = why;
        long millis = Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(MAX_RETRY_AFTER_MILLIS, leastExpectedMillis));
        // Callers that were refused together must not come back together.
        long spreadMillis = random.nextLong(millis / 2 + 1);
        return ClientAnswer.own(ClientAnswer.UNAVAILABLE, why, millis + spreadMillis);
    }
}
