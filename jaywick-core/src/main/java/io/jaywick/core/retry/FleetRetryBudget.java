package io.jaywick.core.retry;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * This node's part of a retry budget that all nodes share without talking to each other. For each service the fleet may
 * send again, in any window, a ratio of the first calls and a fixed allowance. A node takes a part of the ratio of its own
 * first calls and an equal share of a part of the allowance, because the calls that a repeated run makes count as
 * repeats of the services called, and no node sees them all.
 * Parts of a call are rounded up or down at random, so that many nodes with few calls neither exceed the budget nor
 * leave it unused. Not thread-safe.
 */
public final class FleetRetryBudget {

    /** A run that calls another service twice, repeated at this rate, still leaves that service a third of its budget. */
    private static final double RATIO_FRACTION = 0.3;

    /** The rest of the allowance covers nodes that restart and forget what they have sent. */
    private static final double ALLOWANCE_FRACTION = 0.5;

    private final double ratio;
    private final double allowance;
    private final long windowMillis;
    private final LongSupplier nanoTime;
    private final RandomGenerator random;
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
     * Makes a budget.
     *
     * @param ratio repeats for each first call, over the whole fleet
     * @param allowance further repeats in each window, over the whole fleet
     */
    public FleetRetryBudget(
            double ratio, double allowance, long windowMillis, LongSupplier nanoTime, RandomGenerator random) {
        this.ratio = ratio;
        this.allowance = allowance;
        this.windowMillis = windowMillis;
        this.nanoTime = nanoTime;
        this.random = random;
    }

    /** Counts a first call to a service. */
    public void recordOriginalCall(String service) {
        usage(service).originalCalls.add(nanoTime.getAsLong());
    }

    /** Pays for sending one call again; returns false when the budget is used up. */
    public boolean tryWithdraw(String service, int nodes) {
        Usage usage = usage(service);
        long now = nanoTime.getAsLong();
        double allowed = ratio * RATIO_FRACTION * usage.originalCalls.sum(now)
                + allowance * ALLOWANCE_FRACTION / Math.max(1, nodes)
                + usage.roundingOffset;
        if (usage.retries.sum(now) + 1 > allowed) {
            return false;
        }
        usage.retries.add(now);
        return true;
    }

    /** Returns what was paid for a call that was not sent after all. */
    public void refund(String service) {
        usage(service).retries.removeNewest(nanoTime.getAsLong());
    }

    private Usage usage(String service) {
        return usageByService.computeIfAbsent(service, name -> new Usage(windowMillis, random.nextDouble()));
    }
}
