package io.jaywick.core.retry;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Calls that executions at the local target make to other services. The calls of a repeated execution count as retries
 * at the services called, so they are withdrawn from the retry budgets of these services before the execution starts,
 * as many as an execution of its route makes on average. Not thread-safe.
 */
public final class NestedCalls {

    /** Older executions weigh less, so that a changed route is learned anew. */
    private static final double MAX_EXECUTIONS = 1_000;

    private final Budget budget;
    private final RandomGenerator random;
    private final Map<String, Executions> executionsByRoute = new HashMap<>();

    /** The retry budgets of the services that are called. */
    public interface Budget {

        /** Withdraws calls to a service; returns false when its budget is exhausted. */
        boolean tryWithdraw(String service, int calls);

        /** Returns calls that were not made. */
        void refund(String service, int calls);
    }

    private static final class Executions {
        private final Map<String, Double> callsByService = new HashMap<>();
        private double count;
    }

    public NestedCalls(Budget budget, RandomGenerator random) {
        this.budget = budget;
        this.random = random;
    }

    /** Counts an execution that has ended. */
    public void recordExecution(String route) {
        Executions executions = executions(route);
        executions.count++;
        if (executions.count > MAX_EXECUTIONS) {
            executions.count /= 2;
            executions.callsByService.replaceAll((service, calls) -> calls / 2);
        }
    }

    /** Counts a call that an execution makes. */
    public void recordCall(String route, String service) {
        executions(route).callsByService.merge(service, 1.0, Double::sum);
    }

    private Executions executions(String route) {
        return executionsByRoute.computeIfAbsent(route, name -> new Executions());
    }

    /** Returns the mean number of calls that an execution of a route makes, by service; empty while none is known. */
    public Map<String, Double> callsPerExecution(String route) {
        Executions executions = executions(route);
        Map<String, Double> calls = new HashMap<>();
        if (executions.count > 0) {
            executions.callsByService.forEach((service, count) -> calls.put(service, count / executions.count));
        }
        return calls;
    }

    /**
     * Withdraws the calls that a repeated execution is expected to make. Fractions of a call are rounded up or down at
     * random.
     *
     * @return the calls withdrawn by service, or null when one of the budgets is exhausted
     */
    public Map<String, Integer> tryReserve(String route) {
        Executions executions = executions(route);
        Map<String, Integer> reserved = new HashMap<>();
        if (executions.count == 0) {
            return reserved;
        }
        for (Map.Entry<String, Double> entry : executions.callsByService.entrySet()) {
            int calls = (int) (entry.getValue() / executions.count + random.nextDouble());
            if (calls == 0) {
                continue;
            }
            if (!budget.tryWithdraw(entry.getKey(), calls)) {
                cancel(reserved);
                return null;
            }
            reserved.put(entry.getKey(), calls);
        }
        return reserved;
    }

    /** Returns the calls reserved for an execution that did not start. */
    public void cancel(Map<String, Integer> reserved) {
        reserved.forEach(budget::refund);
    }
}
