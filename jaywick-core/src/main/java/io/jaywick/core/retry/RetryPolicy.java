package io.jaywick.core.retry;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.jaywick.core.routing.RefusalReason;

/** Decides whether a failed attempt is retried. Each node has one policy for its outgoing calls. Thread-safe. */
public final class RetryPolicy {

    /** Maximum number of attempts of one call, including the first. */
    public static final int MAX_ATTEMPTS = 4;

    private final Map<String, RetryBudget> budgets = new ConcurrentHashMap<>();

    /** Records the first attempt of a call to a service, which adds to the budget of the service. */
    public void recordFirstAttempt(String service) {
        budget(service).deposit();
    }

    /**
     * Returns whether to make another attempt. If so, the retry is withdrawn from the budget of the service.
     *
     * @param idempotent whether the table allows the call to be executed more than once
     * @param attempt number of the attempt that ended, from 1
     * @param reason reason of a refusal, null for other results
     * @param retriedBelow whether a nested call has already used retries for this failure
     * @param remainingNanos remaining time until the deadline
     */
    public boolean shouldRetry(
            String service,
            boolean idempotent,
            int attempt,
            AttemptResult result,
            RefusalReason reason,
            boolean retriedBelow,
            long remainingNanos) {
        if (attempt >= MAX_ATTEMPTS || remainingNanos <= 0) {
            return false;
        }
        boolean allowed =
                switch (result) {
                    case NOT_SENT -> true;
                    case NOT_RUN -> reason == null || reason.mayBeAcceptedElsewhere();
                    case LOST, SHED -> idempotent && !retriedBelow;
                    case ANSWERED, TIMED_OUT -> false;
                };
        return allowed && budget(service).tryWithdraw(!result.provesNotRun());
    }

    private RetryBudget budget(String service) {
        RetryBudget found = budgets.get(service);
        return found != null ? found : budgets.computeIfAbsent(service, name -> new RetryBudget());
    }
}
