package io.jaywick.core.limits;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class QuotaNodeTestCase {

    private static final int SEEDS = 2;
    private static final double SERVED = 0.99;
    private static final String[] DATA_CENTRES = {"a", "b", "c", "d", "e"};

    private static QuotaSimulation simulation(long seed) {
        QuotaSimulation simulation = new QuotaSimulation(seed, 12, DATA_CENTRES);
        simulation.addAccount("large", 150, 100);
        simulation.addAccount("medium", 30, 30);
        simulation.addAccount("small", 4, 6);
        simulation.addAccount("burstless", 40, 0);
        return simulation;
    }

    /** Loads each account at a ratio of its limit, from all nodes. */
    private static void load(QuotaSimulation simulation, double ratio, long millis) {
        simulation.accounts.forEach((name, account) ->
                simulation.load(name, ratio * account.limit.callsPerSecond(), millis, simulation.all()));
    }

    private static void assertBound(String what, QuotaSimulation simulation) {
        simulation.accounts.forEach((name, account) -> assertThat(
                what + ", " + name, simulation.largestUse(account, account.limit, 0), lessThanOrEqualTo(1.0)));
    }

    /** Guards against refusals of an account below its limit, and against a request for each call. */
    @Test
    void servesAccountsBelowTheirLimits() {
        for (int seed = 0; seed < SEEDS; seed++) {
            QuotaSimulation simulation = simulation(seed);
            simulation.startAll();
            simulation.run(5_000);
            load(simulation, 0.6, 30_000);
            simulation.run(31_000);
            int calls = 0;
            for (String name : simulation.accounts.keySet()) {
                QuotaSimulation.Account account = simulation.accounts.get(name);
                calls += account.offered;
                assertThat("seed " + seed + ", " + name, account.served(), greaterThanOrEqualTo(SERVED));
            }
            assertThat(simulation.messages / 2.0, lessThan(0.9 * calls));
        }
    }

    /** Guards against refusals while the tokens of the other data centres, or of the other nodes, are idle. */
    @Test
    void servesDemandOfOneDataCentreOrNode() {
        for (int seed = 0; seed < SEEDS; seed++) {
            for (boolean oneNode : new boolean[] {false, true}) {
                QuotaSimulation simulation = simulation(seed);
                simulation.startAll();
                simulation.run(5_000);
                List<QuotaSimulation.Node> callers =
                        oneNode ? List.of(simulation.nodes.get("a-" + seed)) : simulation.in("a");
                simulation.accounts.forEach((name, account) ->
                        simulation.load(name, 0.7 * account.limit.callsPerSecond(), 20_000, callers));
                simulation.run(21_000);
                simulation.accounts.forEach((name, account) ->
                        assertThat(name + " of one node " + oneNode, account.served(), greaterThanOrEqualTo(SERVED)));
            }
        }
    }

    /** Guards against a hot account that exceeds its bound, gets less than its limit or takes from the others. */
    @Test
    void limitsHotAccountBesideOthers() {
        for (int seed = 0; seed < SEEDS; seed++) {
            for (String hot : List.of("large", "medium", "small", "burstless")) {
                QuotaSimulation simulation = simulation(seed);
                simulation.startAll();
                simulation.run(5_000);
                load(simulation, 0.6, 10_000);
                double limit = simulation.accounts.get(hot).limit.callsPerSecond();
                simulation.load(hot, 5 * limit, 8_000, simulation.all());
                simulation.run(8_000);
                double admitted = simulation.accounts.get(hot).admittedNanos.size();
                simulation.run(3_000);
                assertThat(hot + " gets its limit", admitted, greaterThanOrEqualTo(0.9 * 8 * limit));
                simulation.accounts.forEach((name, account) -> assertThat(
                        name + " beside " + hot,
                        account.served(),
                        name.equals(hot) ? greaterThan(0.0) : greaterThanOrEqualTo(SERVED)));
                assertBound("hot " + hot + ", seed " + seed, simulation);
            }
        }
    }

    /** Failures during a burst of calls, each alone and all together. */
    private enum Failures {
        RESTARTS_OF_ALL,
        RESTARTS_OF_SOME,
        PARTITIONS,
        ALL_AND_LOSSES;

        boolean include(Failures other) {
            return this == other || this == ALL_AND_LOSSES;
        }
    }

    /** Guards against tokens that restarts, losses, partitions or views that differ create. */
    @Test
    void keepsTheBoundInFailures() {
        for (int seed = 0; seed < SEEDS; seed++) {
            for (Failures failures : Failures.values()) {
                QuotaSimulation simulation = simulation(seed);
                simulation.lossRatio = failures == Failures.ALL_AND_LOSSES ? 0.1 : 0;
                simulation.refusedRatio = 0.2;
                simulation.startAll();
                simulation.run(20_000);
                for (int second = 0; second < 16; second++) {
                    if (second % 8 == 0) {
                        load(simulation, 10, 5_000);
                    }
                    disturb(simulation, failures, second);
                    simulation.run(1_000);
                }
                String what = failures + ", seed " + seed;
                assertBound(what, simulation);
            }
        }
    }

    private static void disturb(QuotaSimulation simulation, Failures failures, int second) {
        List<QuotaSimulation.Node> nodes = simulation.all();
        if (failures.include(Failures.RESTARTS_OF_SOME)) {
            QuotaSimulation.Node victim = nodes.get(simulation.random.nextInt(nodes.size()));
            victim.kill();
            simulation.in(500 + simulation.random.nextInt(3_000), victim::start);
            if (second % 2 == 0) {
                simulation.unlist(victim.host);
                simulation.in(2_500, () -> simulation.list(victim.host));
            }
        }
        if (failures.include(Failures.RESTARTS_OF_ALL) && second % 8 < 4) {
            simulation.in(700, () -> nodes.forEach(QuotaSimulation.Node::kill));
            simulation.in(800, () -> nodes.forEach(QuotaSimulation.Node::start));
        }
        if (failures.include(Failures.PARTITIONS) && second % 2 == 1) {
            int kind = simulation.random.nextInt(4);
            simulation.connected = (from, to) -> switch (kind) {
                case 0 -> from.charAt(0) == to.charAt(0);
                case 1 -> from.hashCode() % 2 == to.hashCode() % 2;
                case 2 -> false;
                default -> true;
            };
        }
    }

    /** Guards against two holders in each data centre while nodes disagree about the holder in one. */
    @Test
    void disagreementAboutHoldersOfOneDataCentreDoublesOnlyItsPart() {
        for (int seed = 0; seed < SEEDS; seed++) {
            QuotaSimulation simulation = simulation(seed);
            simulation.startAll();
            simulation.run(15_000);
            List<QuotaSimulation.Node> holders = simulation.in("a").stream()
                    .filter(node -> node.quotas.heldAccounts() > 0)
                    .toList();
            for (QuotaSimulation.Node node : simulation.in("a")) {
                if (holders.contains(node) || node.host.hashCode() % 2 == 0) {
                    simulation.stale.add(node.host);
                }
            }
            holders.forEach(node -> simulation.unlist(node.host));
            simulation.run(10_000);
            load(simulation, 10, 10_000);
            simulation.run(10_000);
            simulation.accounts.forEach((name, account) -> assertThat(
                    name,
                    simulation.largestUse(account, account.limit, 0),
                    lessThanOrEqualTo(1 + 1.0 / DATA_CENTRES.length)));
        }
    }

    /** Guards against a lowered limit whose former tokens remain in use, and a raised one that is not available. */
    @Test
    void appliesChangedLimits() {
        for (int seed = 0; seed < SEEDS; seed++) {
            QuotaSimulation simulation = simulation(seed);
            simulation.startAll();
            simulation.run(12_000);
            load(simulation, 3, 30_000);
            simulation.run(10_000);
            QuotaLimit lower = new QuotaLimit(10, 5);
            simulation.change(() -> simulation.accounts.get("large").limit = lower);
            simulation.run(QuotaSimulation.MAX_PROPAGATION_MILLIS);
            long changedNanos = simulation.nowNanos();
            simulation.run(10_000);
            QuotaSimulation.Account large = simulation.accounts.get("large");
            assertThat(simulation.largestUse(large, lower, changedNanos), lessThanOrEqualTo(1.0));
            int before = large.admittedNanos.size();
            simulation.change(() -> large.limit = new QuotaLimit(150, 100));
            simulation.run(6_000);
            assertThat(large.admittedNanos.size() - before, greaterThan(500));
        }
    }

    /** Guards against messages for an account without a limit, and against an account that a holder does not know. */
    @Test
    void admitsCallsOfUnlimitedAccountsWithoutMessages() {
        QuotaSimulation simulation = simulation(0);
        simulation.startAll();
        int[] admitted = new int[1];
        simulation.nodes.get("a-0").quotas.admit("unlimited", 100, new QuotaCall() {
            @Override
            public void admitted() {
                admitted[0]++;
            }

            @Override
            public void refused(long retryAfterMillis) {}
        });
        assertThat(admitted[0], is(1));
        assertThat(simulation.messages, is(0));
    }

    /** Guards against a new account without its burst, and against a second burst after the account was withdrawn. */
    @Test
    void newAccountHasItsBurstOnce() {
        QuotaSimulation simulation = new QuotaSimulation(0, 2, "a", "b");
        simulation.startAll();
        simulation.run(15_000);
        QuotaSimulation.Account account = simulation.addAccount("new", 10, 50);
        simulation.change(() -> {});
        simulation.run(3_000);
        simulation.load("new", 500, 1_000, simulation.all());
        simulation.run(1_500);
        assertThat(account.admittedNanos.size(), greaterThan(50));
        simulation.change(() -> simulation.accounts.remove("new"));
        simulation.run(2_000);
        simulation.change(() -> simulation.accounts.put("new", account));
        simulation.run(2_000);
        int before = account.admittedNanos.size();
        simulation.load("new", 500, 500, simulation.all());
        simulation.run(500);
        assertThat(account.admittedNanos.size() - before, lessThan(50));
    }

    /** Guards against holders that refuse a node whose own holder is down. */
    @Test
    void otherHoldersServeWhenOneIsDown() {
        for (int seed = 0; seed < SEEDS; seed++) {
            QuotaSimulation simulation = simulation(seed);
            simulation.startAll();
            simulation.run(5_000);
            load(simulation, 0.6, 20_000);
            simulation.in("a").stream()
                    .filter(node -> node.quotas.heldAccounts() > 0)
                    .forEach(QuotaSimulation.Node::kill);
            simulation.run(21_000);
            simulation.accounts.forEach(
                    (name, account) -> assertThat(name, account.served(), greaterThanOrEqualTo(0.97)));
        }
    }
}
