package io.jaywick.node.relay;

import java.util.List;

import io.jaywick.core.gate.GateRefusal;

/**
 * Result of one attempt of a call at one instance.
 *
 * @param reason short fixed text for logs and metrics; {@code status-} and the status for a response
 * @param status HTTP status of a response, else 0
 * @param headers alternating names and values of a response, also of one that reports that the target did not execute
 *     the call; else empty
 * @param expectedMillis time until the response to an average call that reaches the instance now; -1 when unknown
 * @param waitMillis wait of a call of the same route before it reaches the target; -1 when unknown
 * @param serviceMillis expected service time of the route at the target, which includes no wait; -1 when unknown
 * @param concurrencyLimit calls that the target runs concurrently; -1 when unknown
 */
public record CallResult(
        Outcome outcome,
        String reason,
        int status,
        List<String> headers,
        byte[] body,
        long expectedMillis,
        long waitMillis,
        long serviceMillis,
        long concurrencyLimit) {

    /** Reason of a call that reached a different instance than the chosen one and was not executed there. */
    static final String ANOTHER_INSTANCE = "another-instance";

    /** Reason of a lost call for which the response to a different request was received. */
    static final String ANOTHER_REQUEST = "another-request";

    /** Reason of a lost call whose request was already in flight at a crash of a target; it must not be retried. */
    static final String SUSPECT_LOST = "suspect-lost";

    private static final byte[] EMPTY = new byte[0];

    /** How an attempt ended. */
    public enum Outcome {
        /** The target sent a complete response. */
        ANSWERED,
        /** The target reported that it did not execute the call. */
        SHED,
        /** The call never reached the target. */
        REFUSED,
        /** The target may have executed the call, but its response was lost. */
        LOST,
        /** The target may still be executing the call; no response arrived in time. */
        TIMED_OUT
    }

    static CallResult answered(int status, List<String> headers, byte[] body) {
        return new CallResult(Outcome.ANSWERED, "status-" + status, status, headers, body, -1, -1, -1, -1);
    }

    static CallResult shed(String reason, List<String> headers) {
        return new CallResult(Outcome.SHED, reason, 0, headers, EMPTY, -1, -1, -1, -1);
    }

    static CallResult refused(GateRefusal reason) {
        return refused(reason.label());
    }

    static CallResult refused(String reason) {
        return new CallResult(Outcome.REFUSED, reason, 0, List.of(), EMPTY, -1, -1, -1, -1);
    }

    static CallResult lost(String reason) {
        return new CallResult(Outcome.LOST, reason, 0, List.of(), EMPTY, -1, -1, -1, -1);
    }

    static CallResult timedOut() {
        return new CallResult(Outcome.TIMED_OUT, "deadline", 0, List.of(), EMPTY, -1, -1, -1, -1);
    }

    CallResult withLoadEstimate(long expectedMillisNow, long waitMillisNow) {
        return new CallResult(
                outcome,
                reason,
                status,
                headers,
                body,
                expectedMillisNow,
                waitMillisNow,
                serviceMillis,
                concurrencyLimit);
    }

    CallResult withCapacity(long serviceMillisNow, long concurrencyLimitNow) {
        return new CallResult(
                outcome,
                reason,
                status,
                headers,
                body,
                expectedMillis,
                waitMillis,
                serviceMillisNow,
                concurrencyLimitNow);
    }

    /** Whether the connection to the target broke before the response. */
    boolean isConnectionLost() {
        return outcome == Outcome.LOST && (reason.startsWith("connection-") || reason.equals("write-failed"));
    }

    /** Whether the chosen instance sent a complete response, whose headers are known. */
    boolean isResponseOfInstance() {
        // Nodes of the previous version send no headers with a shed call.
        return outcome == Outcome.ANSWERED
                || outcome == Outcome.SHED && !reason.equals(ANOTHER_INSTANCE) && !headers.isEmpty();
    }

    /** Whether it is certain that the target did not and will not execute the call. */
    boolean isProvenNotExecuted() {
        return outcome == Outcome.SHED || outcome == Outcome.REFUSED;
    }
}
