package io.jaywick.core.gate;

import java.util.Comparator;

/**
 * Order in which the calls that wait for a slot are served: by priority; then calls that can still meet their latency
 * objective before late ones; then by the latest time at which the call must start. A short call is thus not delayed by
 * long ones with generous objectives.
 */
final class CallOrder {

    private static final double NANOS_PER_MILLI = 1_000_000;

    private final ServiceTimes serviceTimes;

    CallOrder(ServiceTimes serviceTimes) {
        this.serviceTimes = serviceTimes;
    }

    /** Returns the order at a time. */
    Comparator<CallUrgency> at(long nowNanos) {
        return Comparator.comparingInt(CallUrgency::priority)
                .thenComparing(call -> !canMeetObjective(call, nowNanos))
                .thenComparingDouble(call -> slackMillis(call, nowNanos));
    }

    /**
     * Returns whether a waiting call delays a newly arriving one. A late call counts if its deadline is not later:
     * otherwise the queue would admit further calls ahead of late ones and hold these until their deadlines pass.
     */
    boolean servedBefore(CallUrgency waiting, CallUrgency arriving, long nowNanos) {
        if (waiting.priority() != arriving.priority()) {
            return waiting.priority() < arriving.priority();
        }
        return canMeetObjective(waiting, nowNanos)
                ? slackMillis(waiting, nowNanos) <= slackMillis(arriving, nowNanos)
                : waiting.deadlineNanos() - arriving.deadlineNanos() <= 0;
    }

    private boolean canMeetObjective(CallUrgency call, long nowNanos) {
        return millisUntilLatestStart(call, call.objectiveNanos(), nowNanos) >= 0;
    }

    /** Returns the milliseconds until the latest start that meets the objective, or the deadline of a late call. */
    private double slackMillis(CallUrgency call, long nowNanos) {
        double untilObjective = millisUntilLatestStart(call, call.objectiveNanos(), nowNanos);
        return untilObjective >= 0 ? untilObjective : millisUntilLatestStart(call, call.deadlineNanos(), nowNanos);
    }

    private double millisUntilLatestStart(CallUrgency call, long answerNanos, long nowNanos) {
        return (answerNanos - nowNanos) / NANOS_PER_MILLI - serviceTimes.averageMillis(call.route());
    }
}
