package io.jaywick.node.relay;

import java.util.List;

import io.jaywick.core.gate.GateRefusal;

/**
 * What became of one call at one instance.
 *
 * @param reason short fixed text for logs and metrics; that of an answer is its status
 * @param status HTTP status of an answer, else 0
 * @param headers names and values in turn, of an answer only
 * @param expectedMillis time until the answer of an average call that comes to the instance now; -1 when unknown
 * @param waitMillis part of it before the target gets the call; -1 when unknown
 */
public record CallResult(
        Outcome outcome,
        String reason,
        int status,
        List<String> headers,
        byte[] body,
        long expectedMillis,
        long waitMillis) {

    /** Reason of a call that reached another instance than the one chosen, which did not run it. */
    static final String ANOTHER_INSTANCE = "another-instance";

    private static final byte[] EMPTY = new byte[0];

    /** How a call ended. */
    public enum Outcome {
        /** The target gave a whole answer. */
        ANSWERED,
        /** The target says that it did not run the call. */
        SHED,
        /** The call never reached the target. */
        REFUSED,
        /** The call may have run; its answer is lost. */
        LOST,
        /** The call may be running; no answer came in time. */
        TIMED_OUT
    }

    static CallResult answered(int status, List<String> headers, byte[] body) {
        return new CallResult(Outcome.ANSWERED, "status-" + status, status, headers, body, -1, -1);
    }

    static CallResult shed(String reason) {
        return new CallResult(Outcome.SHED, reason, 0, List.of(), EMPTY, -1, -1);
    }

    static CallResult refused(GateRefusal reason) {
        return refused(reason.label());
    }

    static CallResult refused(String reason) {
        return new CallResult(Outcome.REFUSED, reason, 0, List.of(), EMPTY, -1, -1);
    }

    static CallResult lost(String reason) {
        return new CallResult(Outcome.LOST, reason, 0, List.of(), EMPTY, -1, -1);
    }

    static CallResult timedOut() {
        return new CallResult(Outcome.TIMED_OUT, "deadline", 0, List.of(), EMPTY, -1, -1);
    }

    CallResult withLoadEstimate(long expectedMillisNow, long waitMillisNow) {
        return new CallResult(outcome, reason, status, headers, body, expectedMillisNow, waitMillisNow);
    }

    /** Whether the call certainly has not run and will not run. */
    boolean isProvenNotExecuted() {
        return outcome == Outcome.SHED || outcome == Outcome.REFUSED;
    }
}
