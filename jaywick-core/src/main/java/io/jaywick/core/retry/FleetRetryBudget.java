package io.jaywick.core.retry;

import java.util.HashMap;
import java.util.Map;

/**
 * This node's part of a retry budget that all nodes share without talking to each other. For each service the fleet
 * may send, in every window, a ratio of the first calls and a fixed allowance again. A node earns half of the ratio
 * with each of its own first calls, because the calls that a repeated run makes count as repeats too, and saves up at
 * most its equal share of the allowance. Not thread-safe.
 */
public final class FleetRetryBudget {

    private static final double RATIO_USED = 0.5;

    /** The rest of the allowance covers nodes that restart and begin with tokens again. */
    private static final double ALLOWANCE_USED = 0.7;

    private final double ratio;
    private final double allowance;
    private final Map<String, Double> tokensByService = new HashMap<>();

    /**
     * Makes a budget.
     *
     * @param ratio repeats for each first call, over the whole fleet
     * @param allowance further repeats in each window, over the whole fleet
     */
    public FleetRetryBudget(double ratio, double allowance) {
        this.ratio = ratio;
        this.allowance = allowance;
    }

    /** Counts a first call to a service. */
    public void earn(String service, int nodes) {
        double cap = cap(nodes);
        tokensByService.merge(service, cap / 2, (tokens, start) -> Math.min(cap, tokens + ratio * RATIO_USED));
    }

    /** Pays for sending one call again; returns false when the budget is used up. */
    public boolean tryTake(String service, int nodes) {
        double tokens = tokensByService.getOrDefault(service, cap(nodes) / 2);
        if (tokens < 1) {
            return false;
        }
        tokensByService.put(service, tokens - 1);
        return true;
    }

    private double cap(int nodes) {
        return Math.max(1, allowance * ALLOWANCE_USED / Math.max(1, nodes));
    }
}
