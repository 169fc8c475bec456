package io.jaywick.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import io.jaywick.core.membership.Member;
import io.jaywick.core.membership.MembershipView;
import io.jaywick.core.snapshot.Server;
import io.jaywick.core.snapshot.Service;
import io.jaywick.core.snapshot.Snapshot;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

class RouterTestCase {

    private static final int CALLS = 100_000;
    private static final String FIXED_SEED = "20261204";

    private long now;

    private Router router(String dataCentre, long seed) {
        return new Router(dataCentre, dataCentre.substring(0, 1), new Random(seed), () -> now);
    }

    /** Guards against proportions that drift from the table over 100,000 calls, also when the weights change. */
    @Property(tries = 20, seed = FIXED_SEED)
    void weightsAreKeptWhileTheTableChanges(
            @ForAll @IntRange(min = 1, max = 98) int first,
            @ForAll @IntRange(min = 1, max = 200) int callsPerTable,
            @ForAll Random random) {
        Router router = router("a1", random.nextLong());
        NaiveRouter naive = new NaiveRouter(new Random(random.nextLong()));
        Map<String, Double> expected = new HashMap<>();
        Map<String, Integer> got = new HashMap<>();
        Map<String, Integer> naiveGot = new HashMap<>();
        List<Snapshot> tables = new ArrayList<>();
        for (int i = 0; i < 16; i++) {
            int x = (first + random.nextInt(98)) % 98 + 1;
            int y = random.nextInt(100 - x);
            Map<String, Integer> weights = new LinkedHashMap<>();
            weights.put("x", x);
            weights.put("y", y);
            if (x + y < 100) {
                weights.put("z", 100 - x - y);
            }
            tables.add(Tables.table(weights, 1, Set.of(), true, Set.of()));
        }
        Snapshot table = tables.get(0);
        for (int call = 0; call < CALLS; call++) {
            if (call % callsPerTable == 0) {
                table = tables.get(random.nextInt(tables.size()));
            }
            table.routes()
                    .get(0)
                    .services()
                    .forEach(w -> expected.merge(w.service().name(), w.weightPercent() / 100.0, Double::sum));
            got.merge(router.plan(table, "/", "p", null).service().name(), 1, Integer::sum);
            naiveGot.merge(naive.service(table.routes().get(0).services()).name(), 1, Integer::sum);
        }
        for (String service : expected.keySet()) {
            double percent = 100.0 * got.getOrDefault(service, 0) / CALLS;
            double naivePercent = 100.0 * naiveGot.getOrDefault(service, 0) / CALLS;
            double expectedPercent = 100.0 * expected.get(service) / CALLS;
            assertThat(percent, closeTo(expectedPercent, 1.0));
            assertThat(naivePercent, closeTo(expectedPercent, 1.0));
        }
    }

    /** Guards against many nodes with few calls each that all begin with the heaviest service. */
    @Test
    void weightsAreKeptOverManyCallersWithFewCalls() {
        Snapshot table = Tables.table(Map.of("x", 90, "y", 10), 1, Set.of(), true, Set.of());
        int light = 0;
        for (int node = 0; node < 20_000; node++) {
            Router router = router("a1", node);
            for (int call = 0; call < 5; call++) {
                light += router.plan(table, "/", "p", null).service().name().equals("y") ? 1 : 0;
            }
        }
        assertThat(100.0 * light / CALLS, closeTo(10, 1));
    }

    /** Guards against keyed calls whose proportions deviate from the weights of the table. */
    @Test
    void weightsAreKeptForKeys() {
        Snapshot table = Tables.table(Map.of("x", 70, "y", 30), 1, Set.of(), false, Set.of());
        Router router = router("a1", 1);
        int light = 0;
        for (int call = 0; call < CALLS; call++) {
            light += router.plan(table, "/", "p", "key" + call).service().name().equals("y") ? 1 : 0;
        }
        assertThat(100.0 * light / CALLS, closeTo(30, 1));
    }

    /**
     * Guards against targets outside the home regions or in a data centre out of service, whatever load or failure is
     * reported.
     */
    @Property(tries = 300, seed = FIXED_SEED)
    void onlyEligibleTargetsAreChosen(@ForAll Random random) {
        Set<String> out = new HashSet<>();
        for (String name : List.of("a1", "a2", "b1")) {
            if (random.nextInt(3) == 0) {
                out.add(name);
            }
        }
        Set<String> home = random.nextBoolean() ? Set.of() : Set.of("a");
        Snapshot table = Tables.table(Map.of("x", 100), 2, out, true, home);
        Service service = table.services().get("x");
        Router router = router("a1", random.nextLong());
        NaiveRouter naive = new NaiveRouter(random);
        MembershipView view = Tables.view(service.servers());
        List<String> tried = new ArrayList<>();
        while (true) {
            Server any = service.servers().get(random.nextInt(service.servers().size()));
            switch (random.nextInt(4)) {
                case 0 -> router.avoid(any);
                case 1 -> router.recordLoad(any, random.nextInt(100), random.nextInt(10));
                case 2 -> router.recordFailure(service, any);
                default -> router.recordAnswer(service, any, random.nextInt(1_000_000));
            }
            CallPlan plan = router.plan(table, "/", "p", null);
            Member member = router.choose(plan, view, tried);
            long eligible = service.servers().stream()
                    .filter(s -> s.dataCentre().inService()
                            && (home.isEmpty() || home.contains(s.dataCentre().region())))
                    .filter(s -> !tried.contains(s.name()))
                    .count();
            assertThat(member == null, is(eligible == 0));
            if (member == null) {
                assertThat(naive.target(service) == null, is(out.size() == 3));
                return;
            }
            assertThat(out.contains(member.dataCentre()), is(false));
            assertThat(home.isEmpty() || home.contains(member.region()), is(true));
            tried.add(member.server());
        }
    }

    /** Guards against calls that leave a data centre or a region before the nearer targets are at capacity. */
    @Test
    void nearestTargetsAreUsedFirst() {
        Snapshot table = Tables.table(Map.of("x", 100), 2, Set.of(), true, Set.of());
        Service service = table.services().get("x");
        Router router = router("a1", 3);
        MembershipView view = Tables.view(service.servers());
        CallPlan plan = router.plan(table, "/", "p", null);
        StringBuilder order = new StringBuilder();
        for (int call = 0; call < 6 * Tables.COLD_START_CALLS; call++) {
            Member member = router.choose(plan, view, List.of());
            router.recordAttemptStart(table.servers().get(member.server()));
            order.append(member.dataCentre()).append(' ');
        }
        assertThat(order.toString(), is("a1 a1 a1 a1 a2 a2 a2 a2 b1 b1 b1 b1 "));
        assertThat(router.choose(plan, view, List.of()).dataCentre(), is("a1"));
    }

    /**
     * Guards against a report of a saturated target that never expires, and against a report that hides the node's own
     * calls.
     */
    @Test
    void reportedLoadMovesTheOverflow() {
        Snapshot table = Tables.table(Map.of("x", 100), 1, Set.of(), true, Set.of());
        Service service = table.services().get("x");
        Router router = router("a1", 3);
        MembershipView view = Tables.view(service.servers());
        CallPlan plan = router.plan(table, "/", "p", null);
        Server nearest = table.servers().get("x-a1-0");
        router.recordLoad(nearest, 8, 8);
        assertThat(router.choose(plan, view, List.of()).server(), is("x-a2-0"));
        now += 10_000_000_000L;
        assertThat(router.choose(plan, view, List.of()).server(), is("x-a1-0"));
        router.recordLoad(nearest, 0, 4);
        for (int call = 0; call < 4; call++) {
            assertThat(router.choose(plan, view, List.of()).server(), is("x-a1-0"));
            router.recordAttemptStart(nearest);
        }
        assertThat(router.choose(plan, view, List.of()).server(), is("x-a2-0"));
    }

    /** Guards against a false health signal that ejects all targets of a service. */
    @Property(tries = 100, seed = FIXED_SEED)
    void ejectionIsCapped(@ForAll @IntRange(min = 1, max = 40) int targets, @ForAll Random random) {
        OutlierEjector ejector = new OutlierEjector();
        long time = 0;
        for (int i = 0; i < 1_000; i++) {
            time += random.nextInt(50) * 1_000_000L;
            ejector.recordFailure("s" + random.nextInt(targets), targets, time);
            assertThat(ejector.ejectedCount(time) * 100, lessThanOrEqualTo(30 * targets));
        }
        if (targets >= 4) {
            assertThat(ejector.ejectedCount(time), greaterThan(0));
        }
    }

    /** Guards against an ejection that never ends or does not grow with repetition. */
    @Test
    void ejectionDoublesUpToAMinute() {
        OutlierEjector ejector = new OutlierEjector();
        long time = 0;
        for (long seconds : new long[] {5, 10, 20, 40, 60, 60}) {
            for (int i = 0; i < OutlierEjector.FAILURES_TO_EJECT; i++) {
                ejector.recordFailure("s", 10, time);
            }
            assertThat(ejector.isEjected("s", time + seconds * 1_000_000_000L - 1), is(true));
            time += seconds * 1_000_000_000L;
            assertThat(ejector.isEjected("s", time), is(false));
        }
    }

    /** Guards against a key that runs at a second server because the first is unreachable. */
    @Test
    void keyIsNeverSentToASecondServer() {
        Snapshot table = Tables.table(Map.of("x", 100), 3, Set.of(), false, Set.of());
        Service service = table.services().get("x");
        Router router = router("a1", 5);
        CallPlan plan = router.plan(table, "/", "p", "k1");
        Member home = router.choose(plan, Tables.view(service.servers()), List.of());
        assertThat(home, notNullValue());
        router.avoid(table.servers().get(home.server()));
        assertThat(
                router("b1", 6)
                        .choose(plan, Tables.view(service.servers()), List.of())
                        .server(),
                is(home.server()));
        assertThat(router.choose(plan, Tables.view(service.servers()), List.of(home.server())), nullValue());
        assertThat(router.choose(plan, Tables.view(List.of()), List.of()), nullValue());
    }

    /** Guards against an evacuated data centre that moves the keys of the remaining servers. */
    @Test
    void onlyKeysOfTheEvacuatedDataCentreMove() {
        Service before = Tables.table(Map.of("x", 100), 3, Set.of(), false, Set.of())
                .services()
                .get("x");
        Service after = Tables.table(Map.of("x", 100), 3, Set.of("a2"), false, Set.of())
                .services()
                .get("x");
        int moved = 0;
        for (int i = 0; i < 10_000; i++) {
            Server old = KeyHome.server(before, Set.of(), "p", "k" + i);
            Server changed = KeyHome.server(after, Set.of(), "p", "k" + i);
            if (!old.name().equals(changed.name())) {
                assertThat(old.dataCentre().name(), is("a2"));
                moved++;
            }
        }
        assertThat(moved, greaterThan(3_000));
        assertThat(moved, lessThan(3_700));
    }

    /** Guards against a call without a known party, whose limits and home regions are unknown. */
    @Test
    void unknownPartyIsRefused() {
        Snapshot table = Tables.table(Map.of("x", 100), 1, Set.of(), true, Set.of());
        assertThat(router("a1", 1).plan(table, "/", "nobody", null).refusal(), is(RefusalReason.UNKNOWN_PARTY));
        assertThat(router("a1", 1).plan(table, "/", null, null).refusal(), is(RefusalReason.UNKNOWN_PARTY));
        assertThat(router("a1", 1).plan(null, "/", "p", null).refusal(), is(RefusalReason.NO_TABLE));
    }
}
