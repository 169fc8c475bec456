package io.jaywick.node.relay;

import java.util.Random;

/**
 * Builds the response to the caller of one call from the results of its attempts. A refusal promises that the call was
 * not executed, so it is returned only while that is certain.
 */
final class CallResponses {

    /**
     * Bounds of the retry-after time of a refusal before jitter; callers have deadlines of about one second and more.
     */
    private static final long MIN_RETRY_AFTER_MILLIS = 100;

    private static final long MAX_RETRY_AFTER_MILLIS = 1_000;

    private static final String TARGET_ANSWERED = "target-answered";

    private final Random random;
    private boolean mayHaveExecuted;
    private CallResult failure;
    private long minExpectedWaitMillis = -1;
    private String reason = "";

    CallResponses(Random random) {
        this.random = random;
    }

    /** Records that a target may have executed the call, or may still execute it. */
    void markMayHaveExecuted() {
        mayHaveExecuted = true;
    }

    /** Whether it is certain that no target whose response is unknown has executed the call. */
    boolean isNotExecuted() {
        return !mayHaveExecuted;
    }

    /** Records a failure response of a target; it is forwarded if no later attempt succeeds. */
    void recordTargetFailure(CallResult result) {
        failure = result;
    }

    /** Records the expected wait, in milliseconds, at an instance that does not accept the call; -1 when unknown. */
    void recordExpectedWait(long millis) {
        if (millis >= 0) {
            minExpectedWaitMillis = minExpectedWaitMillis < 0 ? millis : Math.min(minExpectedWaitMillis, millis);
        }
    }

    /** Reason of the last response built, for the log line of a failed call. */
    String reason() {
        return reason;
    }

    /** Whether the last response built is one that a target gave. */
    boolean isOfTarget() {
        return reason.equals(TARGET_ANSWERED);
    }

    /** Returns the response that a target gave. */
    ClientResponse ofTarget(CallResult result) {
        reason = TARGET_ANSWERED;
        return new ClientResponse(result.status(), result.headers(), result.body(), 0);
    }

    /** Returns the response at the deadline of a call that a target may have executed. */
    ClientResponse timeout() {
        reason = "deadline";
        return ClientResponse.generated(ClientResponse.GATEWAY_TIMEOUT, reason, 0);
    }

    /**
     * Returns the response when no further attempt is possible: the recorded failure of a target, else an error if the
     * call may have been executed, else a refusal.
     */
    ClientResponse failure(String nodeReason) {
        if (failure != null) {
            reason = TARGET_ANSWERED;
            return new ClientResponse(failure.status(), failure.headers(), failure.body(), 0);
        }
        reason = nodeReason;
        return mayHaveExecuted
                ? ClientResponse.generated(ClientResponse.BAD_GATEWAY, nodeReason, 0)
                : refusal(nodeReason);
    }

    /**
     * Returns a refusal of a call that was not executed. Its retry-after time is the shortest expected wait, within
     * bounds, plus jitter.
     */
    ClientResponse refusal(String refusalReason) {
        reason = refusalReason;
        long millis = Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(MAX_RETRY_AFTER_MILLIS, minExpectedWaitMillis));
        // Without jitter, callers that were refused together would retry together.
        long jitterMillis = random.nextLong(millis / 2 + 1);
        return ClientResponse.generated(ClientResponse.SERVICE_UNAVAILABLE, refusalReason, millis + jitterMillis);
    }
}
