package io.jaywick.core.retry;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/** A fleet of nodes, each with a budget of its own, against the rule over all of them. */
class RetryBudgetFleetTestCase {

    private static final double RATIO = 0.2;
    private static final double ALLOWANCE = 230;
    private static final long WINDOW_MILLIS = 10_000;
    private static final int NODES = 96;
    private static final int TARGETS = 35;
    private static final int MAX_ATTEMPTS = 4;

    private final AtomicLong nanos = new AtomicLong();
    private final Random random = new Random(5);
    private final RetryBudgetRule rule = new RetryBudgetRule(RATIO, ALLOWANCE, WINDOW_MILLIS);
    private final List<Node> nodes = new ArrayList<>();

    /** One node; a restart replaces it. */
    private final class Node implements NestedCalls.Budget {
        final FleetRetryBudget budget = new FleetRetryBudget(RATIO, ALLOWANCE, WINDOW_MILLIS, nanos::get, random);
        final PeakNodeCount nodeCount = new PeakNodeCount(nanos::get);
        final NestedCalls nestedCalls = new NestedCalls(this, random);

        Node(int listedNodes) {
            nodeCount.observe(listedNodes);
        }

        /** Serves a request of which every attempt fails. */
        void serve(String service) {
            rule.request(service, millis());
            budget.recordOriginalCall(service);
            for (int attempt = 1; attempt < MAX_ATTEMPTS && budget.tryWithdraw(service, nodeCount.get()); attempt++) {
                rule.repeat(service, millis());
            }
        }

        /** Retries a call of a running request, of which every attempt fails. */
        private void retryForRunningRequest(String service) {
            for (int attempt = 1;
                    attempt < MAX_ATTEMPTS && budget.tryWithdrawForRunningRequest(service, nodeCount.get());
                    attempt++) {
                rule.repeat(service, millis());
            }
        }

        /** Serves a request that fails after its execution, by targets of which each execution calls others. */
        void serveWithNestedCalls(int nestedCallsPerExecution) {
            rule.request("calling", millis());
            budget.recordOriginalCall("calling");
            anyTarget().execute(nestedCallsPerExecution, false);
            for (int attempt = 1; attempt < MAX_ATTEMPTS && budget.tryWithdraw("calling", nodeCount.get()); attempt++) {
                if (anyTarget().execute(nestedCallsPerExecution, true)) {
                    rule.repeat("calling", millis());
                }
            }
        }

        /** Executes a request at the target of this node; returns false if it is refused. */
        private boolean execute(int maxNestedCalls, boolean repeated) {
            if (repeated && nestedCalls.tryReserve("r") == null) {
                return false;
            }
            int count = random.nextInt(10) < 7 ? maxNestedCalls : 0;
            for (int i = 0; i < count; i++) {
                nestedCalls.recordCall("r", "called");
                if (repeated) {
                    rule.repeat("called", millis());
                } else {
                    rule.request("called", millis());
                    budget.recordOriginalCall("called");
                }
                retryForRunningRequest("called");
            }
            nestedCalls.recordExecution("r");
            return true;
        }

        @Override
        public boolean tryWithdraw(String service, int calls) {
            return budget.tryWithdrawNestedCalls(service, calls, nodeCount.get());
        }

        @Override
        public void refund(String service, int calls) {
            for (int i = 0; i < calls; i++) {
                budget.refund(service);
            }
        }
    }

    RetryBudgetFleetTestCase() {
        restartAll(NODES);
    }

    private void restartAll(int listedNodes) {
        nodes.clear();
        for (int i = 0; i < NODES; i++) {
            nodes.add(new Node(listedNodes));
        }
    }

    private long millis() {
        return TimeUnit.NANOSECONDS.toMillis(nanos.get());
    }

    private Node anyTarget() {
        return nodes.get(random.nextInt(TARGETS));
    }

    private Node anyNode() {
        return nodes.get(random.nextInt(NODES));
    }

    private void run(long millis, int requestsPerSecond, Runnable onRequest) {
        for (long i = 0; i < millis; i++) {
            nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(1));
            if (random.nextInt(1_000) < requestsPerSecond) {
                onRequest.run();
            }
        }
    }

    private void assertRuleHolds(String service) {
        assertThat(rule.worstExcess(service), lessThanOrEqualTo(0.0));
        assertThat("retries stay possible", rule.repeats(service), greaterThan(0));
    }

    /**
     * Guards against repeats beyond the budget after a mass crash of targets, whose entries expire while the nodes
     * beside them go on serving callers: each node took a larger part of the allowance.
     */
    @Test
    void ruleHoldsWhenTargetsCrashTogether() {
        run(20_000, 60, () -> anyNode().serve("s"));
        for (int percent : new int[] {30, 75, 90}) {
            nodes.forEach(node -> node.nodeCount.observe(NODES * (100 - percent) / 100));
            run(20_000, 60, () -> anyNode().serve("s"));
        }
        assertRuleHolds("s");
    }

    /**
     * Guards against repeats beyond the budget when all nodes are killed several times within a window: each start gave
     * them the whole allowance again.
     */
    @Test
    void ruleHoldsWhenNodesRestartInSeries() {
        run(20_000, 100, () -> anyNode().serve("s"));
        for (int lifeMillis : new int[] {9_000, 6_000, 4_000, 3_000, 2_000, 1_000}) {
            for (int restarts = 0; restarts < 40_000 / lifeMillis; restarts++) {
                restartAll(NODES);
                run(lifeMillis, 100, () -> anyNode().serve("s"));
            }
        }
        assertRuleHolds("s");
    }

    /**
     * Guards against repeats beyond the budget at a service that is mostly called by executions of another one: the calls
     * of repeated executions were not withdrawn from its budget, and earned retries in addition.
     */
    @Test
    void ruleHoldsForCallsOfRepeatedExecutions() {
        for (int requestsPerSecond : new int[] {20, 60, 200}) {
            for (int nestedCalls : new int[] {1, 2, 3, 5}) {
                run(20_000, requestsPerSecond, () -> anyNode().serveWithNestedCalls(nestedCalls));
            }
        }
        assertRuleHolds("calling");
        assertRuleHolds("called");
    }

    /**
     * Guards against repeats beyond the budget after a power loss of the whole fleet: each node started while few targets
     * were listed, and took a part of the allowance as large as if there were no other nodes.
     */
    @Test
    void ruleHoldsWhenNodesStartBeforeTheTargetsAreListed() {
        run(20_000, 60, () -> anyNode().serve("s"));
        for (int listedNodes : new int[] {1, 5, 20}) {
            restartAll(listedNodes);
            run(4_000, 60, () -> anyNode().serve("s"));
            nodes.forEach(node -> node.nodeCount.observe(NODES));
            run(26_000, 60, () -> anyNode().serve("s"));
        }
        assertRuleHolds("s");
    }

    /**
     * Guards against repeats beyond the budget at a service that clients and running requests call (srv_grey at a shared
     * service), where each kind of withdrawal uses its whole part while nodes restart.
     */
    @Test
    void ruleHoldsWhenClientsAndRunningRequestsRetryAtOneService() {
        for (int requestsPerSecond : new int[] {20, 60, 200}) {
            Runnable request = () -> {
                anyNode().serve("called");
                anyNode().serveWithNestedCalls(2);
            };
            run(20_000, requestsPerSecond, request);
            restartAll(NODES);
            run(6_000, requestsPerSecond, request);
            restartAll(NODES);
            run(20_000, requestsPerSecond, request);
        }
        assertRuleHolds("calling");
        assertRuleHolds("called");
    }

    /**
     * Guards against repeats beyond the budget when a third of the targets crash and all nodes restart twice, while
     * executions call another service twice: each of these alone was within the budget.
     */
    @Test
    void ruleHoldsWhenCrashesRestartsAndNestedCallsCoincide() {
        for (int requestsPerSecond : new int[] {20, 60, 200}) {
            Runnable request = () -> anyNode().serveWithNestedCalls(2);
            restartAll(NODES);
            run(12_000, requestsPerSecond, request);
            int listedNodes = NODES * 2 / 3;
            nodes.forEach(node -> node.nodeCount.observe(listedNodes));
            for (int restarts = 0; restarts < 2; restarts++) {
                restartAll(listedNodes);
                run(3_000, requestsPerSecond, request);
            }
            run(24_000, requestsPerSecond, request);
        }
        assertRuleHolds("calling");
        assertRuleHolds("called");
    }
}
