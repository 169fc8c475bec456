package io.jaywick.core.retry;

/**
 * Token bucket that limits the retries to one service in proportion to its first attempts. Every first attempt deposits
 * a tenth of a token and every retry costs one, so that retries stay below 10% of the calls in the long run. Retries of
 * calls that may have been executed also withdraw from a smaller bucket, because only they add load to targets. Both
 * buckets are full at the start. Thread-safe.
 */
public final class RetryBudget {

    public static final double DEPOSIT_PER_CALL = 0.1;

    /** Capacity for retries of calls that may have been executed. */
    public static final double REPEAT_CAPACITY = 3;

    /** Large, because an evacuated data centre refuses many calls in flight at once; they are moved, not repeated. */
    public static final double CAPACITY = 50;

    private double tokens = CAPACITY;
    private double repeatTokens = REPEAT_CAPACITY;

    public synchronized void deposit() {
        tokens = Math.min(CAPACITY, tokens + DEPOSIT_PER_CALL);
        repeatTokens = Math.min(REPEAT_CAPACITY, repeatTokens + DEPOSIT_PER_CALL);
    }

    /**
     * Withdraws one retry; returns false when the budget is exhausted.
     *
     * @param mayRepeatWork whether the call may have been executed
     */
    public synchronized boolean tryWithdraw(boolean mayRepeatWork) {
        // Sums of tenths may be slightly below whole numbers because of rounding.
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
