package io.jaywick.node.proxy;

import io.jaywick.core.record.CallOutcome;
import io.jaywick.core.retry.AttemptResult;
import io.jaywick.core.routing.RefusalReason;

/**
 * End of one attempt.
 *
 * @param refusal reason when the call was refused, else null
 * @param unknownReason reason when the outcome is unknown, else empty
 * @param response whole answer to be passed on, or null
 * @param isDelivered true when the answer has been streamed to the caller
 * @param retriedBelow true when a nested call below has used retries for this failure
 * @param streamedBytes body bytes of a streamed answer
 */
record CompletedAttempt(
        AttemptResult result,
        RefusalReason refusal,
        String unknownReason,
        BufferedResponse response,
        boolean isDelivered,
        boolean retriedBelow,
        long streamedBytes) {

    static CompletedAttempt refused(RefusalReason reason) {
        return new CompletedAttempt(AttemptResult.NOT_RUN, reason, "", null, false, false, 0);
    }

    static CompletedAttempt notSent() {
        return new CompletedAttempt(AttemptResult.NOT_SENT, RefusalReason.NO_TARGET, "", null, false, false, 0);
    }

    static CompletedAttempt lost(String reason, boolean retriedBelow) {
        return new CompletedAttempt(AttemptResult.LOST, null, reason, null, false, retriedBelow, 0);
    }

    static CompletedAttempt timedOut() {
        return new CompletedAttempt(AttemptResult.TIMED_OUT, null, CallHeaders.DEADLINE_PASSED, null, false, false, 0);
    }

    static CompletedAttempt answered(BufferedResponse answer, boolean shed, boolean retriedBelow) {
        AttemptResult result = shed ? AttemptResult.SHED : AttemptResult.ANSWERED;
        return new CompletedAttempt(result, null, "", answer, false, retriedBelow, 0);
    }

    static CompletedAttempt streamed(long bytes) {
        return new CompletedAttempt(AttemptResult.ANSWERED, null, "", null, true, false, bytes);
    }

    CallOutcome outcome() {
        return switch (result) {
            case ANSWERED, SHED -> CallOutcome.ANSWERED;
            case NOT_RUN, NOT_SENT -> CallOutcome.NOT_RUN;
            case LOST, TIMED_OUT -> CallOutcome.UNKNOWN;
        };
    }

    /** Reason for headers, labels and the usage record, or empty. */
    String reason() {
        if (result == AttemptResult.SHED) {
            return CallHeaders.SHED;
        }
        return refusal != null ? refusal.headerValue() : unknownReason;
    }

    /** Status of an end that has no answer. */
    int status() {
        if (outcome() == CallOutcome.NOT_RUN) {
            return HttpForwarding.STATUS_UNAVAILABLE;
        }
        return result == AttemptResult.TIMED_OUT
                ? HttpForwarding.STATUS_GATEWAY_TIMEOUT
                : HttpForwarding.STATUS_BAD_GATEWAY;
    }
}
