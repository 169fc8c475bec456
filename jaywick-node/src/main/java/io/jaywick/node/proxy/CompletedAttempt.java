package io.jaywick.node.proxy;

import io.jaywick.core.record.CallOutcome;
import io.jaywick.core.retry.AttemptResult;
import io.jaywick.core.routing.RefusalReason;

/**
 * Completion of one attempt of a call.
 *
 * @param refusal reason of a refusal, null for other results
 * @param unknownReason reason of an unknown outcome, empty for other results
 * @param response complete response to be passed on, or null
 * @param isDelivered whether the response has been streamed to the caller
 * @param retriedBelow whether a nested call has already used retries for this failure
 * @param streamedBytes number of body bytes of a streamed response
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

    static CompletedAttempt answered(BufferedResponse response, boolean isShed, boolean retriedBelow) {
        AttemptResult result = isShed ? AttemptResult.SHED : AttemptResult.ANSWERED;
        return new CompletedAttempt(result, null, "", response, false, retriedBelow, 0);
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

    /** Returns the reason for headers, metric labels and the usage record, or an empty string. */
    String reason() {
        if (result == AttemptResult.SHED) {
            return CallHeaders.SHED;
        }
        return refusal != null ? refusal.headerValue() : unknownReason;
    }

    /** Returns the HTTP status for an attempt that ended without a response. */
    int status() {
        if (outcome() == CallOutcome.NOT_RUN) {
            return HttpForwarding.STATUS_UNAVAILABLE;
        }
        return result == AttemptResult.TIMED_OUT
                ? HttpForwarding.STATUS_GATEWAY_TIMEOUT
                : HttpForwarding.STATUS_BAD_GATEWAY;
    }
}
