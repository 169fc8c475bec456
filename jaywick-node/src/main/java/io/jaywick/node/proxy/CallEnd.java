package io.jaywick.node.proxy;

import io.jaywick.core.record.CallOutcome;
import io.jaywick.core.retry.AttemptResult;
import io.jaywick.core.routing.RefusalReason;

/**
 * End of one attempt.
 *
 * @param refusal reason when the call was refused, else null
 * @param unknownReason reason when the outcome is unknown, else empty
 * @param answer whole answer to be passed on, or null
 * @param delivered true when the answer has been streamed to the caller
 * @param retriedBelow true when a nested call below has used retries for this failure
 * @param streamedBytes body bytes of a streamed answer
 */
record CallEnd(
        AttemptResult result,
        RefusalReason refusal,
        String unknownReason,
        Answer answer,
        boolean delivered,
        boolean retriedBelow,
        long streamedBytes) {

    static CallEnd refused(RefusalReason reason) {
        return new CallEnd(AttemptResult.NOT_RUN, reason, "", null, false, false, 0);
    }

    static CallEnd notSent() {
        return new CallEnd(AttemptResult.NOT_SENT, RefusalReason.NO_TARGET, "", null, false, false, 0);
    }

    static CallEnd lost(String reason, boolean retriedBelow) {
        return new CallEnd(AttemptResult.LOST, null, reason, null, false, retriedBelow, 0);
    }

    static CallEnd timedOut() {
        return new CallEnd(AttemptResult.TIMED_OUT, null, CallHeaders.DEADLINE_PASSED, null, false, false, 0);
    }

    static CallEnd answered(Answer answer, boolean shed, boolean retriedBelow) {
        AttemptResult result = shed ? AttemptResult.SHED : AttemptResult.ANSWERED;
        return new CallEnd(result, null, "", answer, false, retriedBelow, 0);
    }

    static CallEnd streamed(long bytes) {
        return new CallEnd(AttemptResult.ANSWERED, null, "", null, true, false, bytes);
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
            return Relay.STATUS_UNAVAILABLE;
        }
        return result == AttemptResult.TIMED_OUT ? Relay.STATUS_GATEWAY_TIMEOUT : Relay.STATUS_BAD_GATEWAY;
    }
}
