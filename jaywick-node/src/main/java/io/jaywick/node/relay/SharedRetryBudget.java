package io.jaywick.node.relay;

import java.util.HashSet;
import java.util.Set;

import io.jaywick.core.fleet.Instance;
import io.jaywick.core.retry.FleetRetryBudget;
import io.jaywick.core.retry.NestedCalls;
import io.jaywick.core.retry.PeakNodeCount;

/** The node's part of the retry budgets of the fleet, with its metrics. */
final class SharedRetryBudget implements NestedCalls.Budget {

    private final RelayContext context;
    private final RelayMeters meters;
    private final FleetRetryBudget budget;
    private final PeakNodeCount nodeCount;

    SharedRetryBudget(RelayContext context, RelayMeters meters) {
        RelaySettings settings = context.settings();
        this.context = context;
        this.meters = meters;
        this.nodeCount = new PeakNodeCount(context.runtime().nanoTime());
        this.budget = new FleetRetryBudget(
                settings.retryRatio(),
                settings.retryAllowance(),
                settings.retryWindowMillis(),
                context.runtime().nanoTime(),
                context.runtime().random());
    }

    /** Counts the nodes of a new view. */
    void viewChanged() {
        Set<String> hosts = new HashSet<>();
        for (Instance instance : context.fleet().get().instances()) {
            hosts.add(instance.host());
        }
        nodeCount.observe(hosts.size());
    }

    /** Number of nodes among which the allowances are divided. */
    int nodeCount() {
        return nodeCount.get();
    }

    /** Counts an original call to a service, which earns a part of a retry. */
    void recordOriginalCall(String service) {
        budget.recordOriginalCall(service);
        meters.countBudgetEvents(service, "earned", 1);
    }

    /** Withdraws one retry or hedge; returns false when the budget is exhausted. */
    boolean tryWithdraw(String service) {
        boolean allowed = budget.tryWithdraw(service, nodeCount());
        meters.countBudgetEvents(service, allowed ? "withdrawn" : "denied", 1);
        return allowed;
    }

    /** Withdraws one retry of a call made for a running request; returns false when the budget is exhausted. */
    boolean tryWithdrawForRunningRequest(String service) {
        boolean allowed = budget.tryWithdrawForRunningRequest(service, nodeCount());
        meters.countBudgetEvents(service, allowed ? "withdrawn-for-running" : "denied-for-running", 1);
        return allowed;
    }

    /** Returns the last withdrawal, for a call that was not sent. */
    void refund(String service) {
        refund(service, 1);
    }

    @Override
    public boolean tryWithdraw(String service, int calls) {
        boolean allowed = budget.tryWithdrawNestedCalls(service, calls, nodeCount());
        meters.countBudgetEvents(service, allowed ? "nested" : "nested-denied", calls);
        return allowed;
    }

    @Override
    public void refund(String service, int calls) {
        for (int i = 0; i < calls; i++) {
            budget.refund(service);
        }
        meters.countBudgetEvents(service, "refunded", calls);
    }
}
