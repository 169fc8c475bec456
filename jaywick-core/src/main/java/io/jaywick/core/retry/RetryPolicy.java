package io.jaywick.core.retry;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import io.jaywick.core.routing.RefusalReason;

/** Decides which attempts are followed by another one. One instance serves the caller beside one node. Thread-safe. */
public final class RetryPolicy {

    /** Attempts of one call at most, including the first. */
    public static final int MAX_ATTEMPTS = 4;

    private final Map<String, RetryBudget> budgets = new ConcurrentHashMap<>();

    /** A first attempt towards the service is about to be made. */
    public void recordFirstAttempt(String service) {
        budget(service).deposit();
    }

    /**
     * Decides on another attempt and pays for it from the budget of the service.
     *
     * @param idempotent true when the table allows the call to run more than once
     * @param attempt number of the attempt that ended, from 1
     * @param reason reason of a refusal, else null
     * @param retriedBelow true when a nested call below has used retries for this failure
     * @param remainingNanos time left until the deadline
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

    /** Forgets services that left the table. */
    public void retainServices(Set<String> services) {
        budgets.keySet().retainAll(services);
    }

    private RetryBudget budget(String service) {
        RetryBudget found = budgets.get(service);
        return found != null ? found : budgets.computeIfAbsent(service, name -> new RetryBudget());
    }
}
