package io.jaywick.core.retry;

/**
 * Token bucket that ties the retries towards one service to its first calls. Every first call earns a tenth of a token
 * and every retry costs one, so that retries stay below 10% of the calls in the long run. Retries of calls that may
 * have run also pay from a small reserve, because only they add load to targets. Thread-safe.
 */
public final class RetryBudget {

    public static final double DEPOSIT_PER_CALL = 0.1;
    /** Burst of retries that may repeat work. */
    public static final double REPEAT_CAPACITY = 3;
    /** A data centre that leaves refuses many calls in flight at once; they are moved, not repeated. */
    public static final double CAPACITY = 50;

    private double tokens = REPEAT_CAPACITY;
    private double repeatTokens = REPEAT_CAPACITY;

    public synchronized void deposit() {
        tokens = Math.min(CAPACITY, tokens + DEPOSIT_PER_CALL);
        repeatTokens = Math.min(REPEAT_CAPACITY, repeatTokens + DEPOSIT_PER_CALL);
    }

    /** Pays for one retry; returns false when the budget is used up. */
    public synchronized boolean tryWithdraw(boolean mayRepeatWork) {
        // The sums of tenths fall short of whole numbers by rounding.
        double retryCost = 1 - 1e-9;
        if (tokens < retryCost || mayRepeatWork && repeatTokens < retryCost) {
            return false;
        }
        tokens -= 1;
        if (mayRepeatWork) {
            repeatTokens -= 1;
        }
        return true;
    }
}
