package io.jaywick.core.retry;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * This node's part of a retry budget that all nodes share without communicating. In any window the fleet may retry, for
 * each service, a ratio of its original calls and a fixed allowance in addition. A node uses only a fraction of the
 * ratio of its own original calls, and an equal part of a fraction of the allowance. Calls made by a repeated execution
 * count as retries at the services called; the node beside the target that executes it withdraws them. All kinds of
 * withdrawals count in one sum, and each kind is refused from a sum of its own on, so that the highest of these bounds
 * all of them: a kind that takes precedence leaves less for the others and never adds to the budget.
 *
 * <p>Fractions of a retry are rounded up or down at random, so that many nodes with few calls neither exceed the budget
 * nor leave it unused. Not thread-safe.
 */
public final class FleetRetryBudget {

    /** The remainder of the ratio is left for calls of running requests and of repeated executions. */
    private static final double RATIO_FRACTION = 0.3;

    /**
     * For retries of calls made for a running request: without one, the request fails after it has used a slot. What is
     * left between the fractions is theirs even if other retries have used up their part. Less than the whole fraction,
     * because a service that only running requests call would have nothing left for the calls of repeated executions.
     */
    private static final double RATIO_FRACTION_FOR_RUNNING_REQUESTS = 0.4;

    /**
     * All withdrawals together. The remainder covers what nodes withdrew before a restart and no longer count, so that
     * no kind of withdrawal may use more than this.
     */
    private static final double RATIO_FRACTION_WITH_NESTED_CALLS = 0.5;

    /** The remainder covers retries that wait at a target and arrive later than others. */
    private static final double ALLOWANCE_FRACTION = 0.5;

    private final double ratio;
    private final double allowance;
    private final long windowMillis;
    private final LongSupplier nanoTime;
    private final RandomGenerator random;
    private final long startNanos;
    private final long windowNanos;
    private final Map<String, Usage> usageByService = new HashMap<>();

    private static final class Usage {
        private final SlidingWindowCounter originalCalls;
        private final SlidingWindowCounter retries;
        private final double roundingOffset;

        Usage(long windowMillis, double roundingOffset) {
            this.originalCalls = new SlidingWindowCounter(windowMillis);
            this.retries = new SlidingWindowCounter(windowMillis);
            this.roundingOffset = roundingOffset;
        }
    }

    /**
     * Creates a budget without withdrawals. The allowance is not used in the first window, because the node does not
     * know what it withdrew before a restart, and may not know all other nodes yet.
     *
     * @param ratio retries for each original call, over the whole fleet
     * @param allowance additional retries in each window, over the whole fleet
     */
    public FleetRetryBudget(
            double ratio, double allowance, long windowMillis, LongSupplier nanoTime, RandomGenerator random) {
        this.ratio = ratio;
        this.allowance = allowance;
        this.windowMillis = windowMillis;
        this.nanoTime = nanoTime;
        this.random = random;
        this.startNanos = nanoTime.getAsLong();
        this.windowNanos = TimeUnit.MILLISECONDS.toNanos(windowMillis);
    }

    /** Counts an original call to a service, as opposed to a retry or a hedge. */
    public void recordOriginalCall(String service) {
        usage(service).originalCalls.add(nanoTime.getAsLong());
    }

    /**
     * Withdraws one retry or hedge from the budget; returns false when the budget is exhausted.
     *
     * @param nodes number of nodes that share the allowance
     */
    public boolean tryWithdraw(String service, int nodes) {
        return tryWithdraw(service, 1, nodes, RATIO_FRACTION);
    }

    /**
     * Withdraws one retry of a call that is made for a running request; returns false when the budget is exhausted.
     *
     * @param nodes number of nodes that share the allowance
     */
    public boolean tryWithdrawForRunningRequest(String service, int nodes) {
        return tryWithdraw(service, 1, nodes, RATIO_FRACTION_FOR_RUNNING_REQUESTS);
    }

    /**
     * Withdraws the calls that a repeated execution makes to a service; returns false, and withdraws none, when the
     * budget does not cover all.
     *
     * @param nodes number of nodes that share the allowance
     */
    public boolean tryWithdrawNestedCalls(String service, int calls, int nodes) {
        return tryWithdraw(service, calls, nodes, RATIO_FRACTION_WITH_NESTED_CALLS);
    }

    private boolean tryWithdraw(String service, int retries, int nodes, double ratioFraction) {
        Usage usage = usage(service);
        long now = nanoTime.getAsLong();
        double allowed = ratio * ratioFraction * usage.originalCalls.sum(now)
                + (now - startNanos < windowNanos ? 0 : allowance * ALLOWANCE_FRACTION / Math.max(1, nodes))
                + usage.roundingOffset;
        if (usage.retries.sum(now) + retries > allowed) {
            return false;
        }
        for (int i = 0; i < retries; i++) {
            usage.retries.add(now);
        }
        return true;
    }

    /** Returns the last withdrawal to the budget, for a call that was not sent. */
    public void refund(String service) {
        usage(service).retries.removeNewest(nanoTime.getAsLong());
    }

    private Usage usage(String service) {
        return usageByService.computeIfAbsent(service, name -> new Usage(windowMillis, random.nextDouble()));
    }
}
