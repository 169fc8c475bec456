package io.jaywick.core.retry;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class FleetRetryBudgetTestCase {

    private static final double RATIO = 0.2;
    private static final double ALLOWANCE = 58;
    private static final long WINDOW_MILLIS = 10_000;

    private final AtomicLong nanos = new AtomicLong();
    private final Random random = new Random(11);

    /** Creates a budget that has accrued its allowance. */
    private FleetRetryBudget budget(double allowance) {
        FleetRetryBudget budget = new FleetRetryBudget(RATIO, allowance, WINDOW_MILLIS, nanos::get, random);
        nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(WINDOW_MILLIS));
        return budget;
    }

    /**
     * Guards against a fleet that exceeds the shared budget in some window while calls fail at all targets (srv_grey).
     */
    @Test
    void fleetStaysWithinBudgetWithoutCommunication() {
        for (int nodes : new int[] {1, 6, 18, 83, 300, 1_000}) {
            FleetRetryBudget[] budgets = new FleetRetryBudget[nodes];
            for (int i = 0; i < nodes; i++) {
                budgets[i] = budget(ALLOWANCE);
            }
            List<Long> calls = new ArrayList<>();
            List<Long> retries = new ArrayList<>();
            for (int i = 0; i < 6_000; i++) {
                nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(random.nextInt(10)));
                FleetRetryBudget budget = budgets[random.nextInt(nodes)];
                calls.add(nanos.get());
                budget.recordOriginalCall("s");
                if (budget.tryWithdraw("s", nodes)) {
                    retries.add(nanos.get());
                }
            }
            assertThat(retries.size(), greaterThan(calls.size() / 25));
            long window = TimeUnit.MILLISECONDS.toNanos(WINDOW_MILLIS);
            for (long end = calls.get(0); end <= nanos.get(); end += window / 10) {
                double allowed = RATIO * inWindow(calls, end, window) + ALLOWANCE;
                assertThat((double) inWindow(retries, end, window), lessThanOrEqualTo(allowed));
            }
        }
    }

    /**
     * Guards against running requests that fail because retries of other calls have used up the budget while a service
     * sheds half of its calls (srv_grey).
     */
    @Test
    void retriesForRunningRequestsFindBudgetThatOthersMayNotUse() {
        FleetRetryBudget budget = budget(0);
        for (int i = 0; i < 1_000; i++) {
            budget.recordOriginalCall("s");
        }
        while (budget.tryWithdraw("s", 1)) {
            // Exhausts the part of the retries of other calls.
        }
        int precedence = 0;
        while (budget.tryWithdrawForRunningRequest("s", 1)) {
            precedence++;
        }
        assertThat(precedence, is(20));
        assertThat(budget.tryWithdraw("s", 1), is(false));
        assertThat("calls of repeated executions", budget.tryWithdrawNestedCalls("s", 20, 1), is(true));
        assertThat("half of the ratio", budget.tryWithdrawNestedCalls("s", 1, 1), is(false));
    }

    /** Guards against a budget that is exhausted by hedges which every instance refused. */
    @Test
    void refundsCallsThatWereNotSent() {
        FleetRetryBudget budget = budget(2);
        while (budget.tryWithdraw("s", 1)) {
            nanos.addAndGet(TimeUnit.SECONDS.toNanos(1));
        }
        budget.refund("s");
        assertThat(budget.tryWithdraw("s", 1), is(true));
        assertThat(budget.tryWithdraw("s", 1), is(false));
    }

    /**
     * Guards against retries at a service whose executions call another one (answer_lost): together with the retries of
     * its own calls they exceeded the budget of the service called, with 839 arrivals of 807 allowed in a simulated
     * day.
     */
    @Test
    void callsOfRepeatedExecutionsStayWithinBudgetOfServiceCalled() {
        int nodes = 18;
        FleetRetryBudget[] budgets = new FleetRetryBudget[nodes];
        for (int i = 0; i < nodes; i++) {
            budgets[i] = budget(ALLOWANCE);
        }
        int calls = 0;
        int retries = 0;
        for (int i = 0; i < 1_300; i++) {
            nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(WINDOW_MILLIS) / 1_300);
            int executions = 1;
            budgets[random.nextInt(nodes)].recordOriginalCall("caller");
            if (budgets[random.nextInt(nodes)].tryWithdraw("caller", nodes)) {
                executions++;
            }
            // Seven of ten executions make two calls; every call fails, and all calls of the second execution are
            // retries.
            for (int call = 0; call < 2 * executions && i % 10 < 7; call++) {
                FleetRetryBudget caller = budgets[random.nextInt(nodes)];
                calls++;
                caller.recordOriginalCall("called");
                boolean isRetried = caller.tryWithdraw("called", nodes);
                retries += (call >= 2 ? 1 : 0) + (isRetried ? 1 : 0);
            }
        }
        assertThat((double) retries, lessThanOrEqualTo(RATIO * calls + ALLOWANCE));
    }

    /**
     * Guards against nodes that each take the allowance of a small fleet while the entries of most instances have
     * lapsed, as after a loss of power: a node knows the size of the fleet only from the listed hosts.
     */
    @Test
    void fleetStaysWithinBudgetWhileFewOfItsNodesAreListed() {
        int nodes = 72;
        int callsPerSecond = 30;
        int secondsUntilLoss = 20;
        int secondsUntilAllAreListed = 8;
        FleetRetryBudget[] budgets = new FleetRetryBudget[nodes];
        for (int i = 0; i < nodes; i++) {
            budgets[i] = budget(ALLOWANCE);
        }
        List<Long> calls = new ArrayList<>();
        List<Long> retries = new ArrayList<>();
        PeakNodeCount nodeCount = new PeakNodeCount(nanos::get);
        for (int i = 0; i < 2 * secondsUntilLoss * callsPerSecond; i++) {
            nanos.addAndGet(TimeUnit.SECONDS.toNanos(1) / callsPerSecond);
            int listed = Math.max(
                    2, nodes * (i - secondsUntilLoss * callsPerSecond) / (secondsUntilAllAreListed * callsPerSecond));
            nodeCount.observe(i < secondsUntilLoss * callsPerSecond ? nodes : Math.min(nodes, listed));
            int known = nodeCount.get();
            // Half of the calls fail, and the calls that a repeated execution makes are retries.
            FleetRetryBudget client = budgets[random.nextInt(nodes)];
            client.recordOriginalCall("caller");
            int executions = random.nextBoolean() && client.tryWithdraw("caller", known) ? 2 : 1;
            for (int execution = 0; execution < executions; execution++) {
                FleetRetryBudget caller = budgets[random.nextInt(nodes)];
                (execution == 0 ? calls : retries).add(nanos.get());
                caller.recordOriginalCall("called");
                if (random.nextBoolean() && caller.tryWithdraw("called", known)) {
                    retries.add(nanos.get());
                }
            }
        }
        long window = TimeUnit.MILLISECONDS.toNanos(WINDOW_MILLIS);
        for (long end : retries) {
            int mostCalls = Math.max(
                    inWindow(calls, end, window),
                    Math.max(inWindow(calls, end - window, window), inWindow(calls, end - window / 2, window)));
            assertThat((double) inWindow(retries, end, window), lessThanOrEqualTo(RATIO * mostCalls + ALLOWANCE));
        }
    }

    private static int inWindow(List<Long> times, long end, long window) {
        int count = 0;
        for (long time : times) {
            if (time <= end && time > end - window) {
                count++;
            }
        }
        return count;
    }

    /** Guards against retries to one service that use the budget earned by calls to another. */
    @Test
    void servicesHaveSeparateBudgets() {
        FleetRetryBudget budget = budget(4);
        while (budget.tryWithdraw("a", 1)) {
            // Exhausts the budget of the first service.
        }
        assertThat(budget.tryWithdraw("b", 1), is(true));
        assertThat(budget.tryWithdraw("a", 1), is(false));
    }

    /** Guards against a budget that stays exhausted after its window. */
    @Test
    void budgetIsAvailableAgainAfterWindow() {
        FleetRetryBudget budget = budget(4);
        while (budget.tryWithdraw("a", 1)) {
            // Exhausts the budget of the window.
        }
        nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(2 * WINDOW_MILLIS));
        assertThat(budget.tryWithdraw("a", 1), is(true));
    }
}
