package io.jaywick.node.relay;

import java.util.Random;

/**
 * What the caller of one call is told when no target answered it well. A refusal promises that the call has not run; it
 * is given only while that is certain.
 */
final class CallResponses {

    /** Least and greatest wait that a refused caller is told; its own deadlines are of about one second and more. */
    private static final long MIN_RETRY_AFTER_MILLIS = 100;

    private static final long MAX_RETRY_AFTER_MILLIS = 1_000;

    private final Random random;
    private boolean mayHaveExecuted;
    private CallResult failure;
    private long minExpectedWaitMillis = -1;
    private String reason = "";

    CallResponses(Random random) {
        this.random = random;
    }

    /** Notes that the call may have run, or may still run. */
    void markMayHaveExecuted() {
        mayHaveExecuted = true;
    }

    /** Whether the call certainly has not run at a target whose answer is unknown. */
    boolean isNotExecuted() {
        return !mayHaveExecuted;
    }

    /** Notes the failure that a target answered; it is passed on when nothing better comes. */
    void recordTargetFailure(CallResult result) {
        failure = result;
    }

    /** Notes the time that an instance expects to need which does not take the call; -1 when it is not known. */
    void recordExpectedWait(long millis) {
        if (millis >= 0) {
            minExpectedWaitMillis = minExpectedWaitMillis < 0 ? millis : Math.min(minExpectedWaitMillis, millis);
        }
    }

    /** Why the answer was given, for the line that explains it. */
    String reason() {
        return reason;
    }

    /** Passes on what a target answered. */
    ClientResponse ofTarget(CallResult result) {
        reason = "target-answered";
        return new ClientResponse(result.status(), result.headers(), result.body(), 0);
    }

    /** The answer at the deadline of a call that may have run. */
    ClientResponse timeout() {
        reason = "deadline";
        return ClientResponse.generated(ClientResponse.GATEWAY_TIMEOUT, reason, 0);
    }

    /** The answer when the call cannot go on. */
    ClientResponse failure(String nodeReason) {
        if (failure != null) {
            reason = "target-answered";
            return new ClientResponse(failure.status(), failure.headers(), failure.body(), 0);
        }
        reason = nodeReason;
        return mayHaveExecuted
                ? ClientResponse.generated(ClientResponse.BAD_GATEWAY, nodeReason, 0)
                : refusal(nodeReason);
    }

    /** The answer to a call that has not run; it tells when an instance may have room. */
    ClientResponse refusal(String refusalReason) {
        reason = refusalReason;
        long millis = Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(MAX_RETRY_AFTER_MILLIS, minExpectedWaitMillis));
        // Callers that were refused together must not come back together.
        long jitterMillis = random.nextLong(millis / 2 + 1);
        return ClientResponse.generated(ClientResponse.SERVICE_UNAVAILABLE, refusalReason, millis + jitterMillis);
    }
}
