package io.jaywick.core.retry;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import io.jaywick.core.routing.Tables;
import io.jaywick.core.snapshot.Snapshot;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class IdempotencyKeyRegistryTestCase {

    private static final String FIXED_SEED = "20261204";
    private static final long WINDOW = 600_000;

    private long nowMillis = 1_000_000_000_000L;

    private IdempotencyKeyRegistry registry(int capacity) {
        return new IdempotencyKeyRegistry(WINDOW, capacity, () -> Instant.ofEpochMilli(nowMillis));
    }

    private static String key(long created, long id) {
        return UuidV7.of(created, id, id);
    }

    /** Guards against a key that is executed twice within its window (I9), after a change of its home or a restart. */
    @Property(tries = 200, seed = FIXED_SEED)
    void noKeyIsExecutedTwiceAcrossHomeChangesAndRestarts(@ForAll Random random) {
        Snapshot[] tables = {
            Tables.table(Map.of("x", 100), 1, Set.of(), false, Set.of()),
            Tables.table(Map.of("x", 100), 1, Set.of("a1"), false, Set.of()),
            Tables.table(Map.of("x", 100), 1, Set.of("b1"), false, Set.of())
        };
        Snapshot table = tables[0];
        Map<String, IdempotencyKeyRegistry> registries = new HashMap<>();
        Map<String, KeyHomeHistory> histories = new HashMap<>();
        for (String server : table.servers().keySet()) {
            registries.put(server, registry(20));
            histories.put(server, new KeyHomeHistory(server, WINDOW, () -> Instant.ofEpochMilli(nowMillis)));
            histories.get(server).activate(table);
        }
        List<String> keys = new ArrayList<>();
        Set<String> executed = new HashSet<>();
        Set<String> naivelyExecuted = new HashSet<>();
        int accepted = 0;
        int naiveDuplicates = 0;
        for (int step = 0; step < 400; step++) {
            nowMillis += random.nextInt(2_000);
            int event = random.nextInt(60);
            List<String> names = List.copyOf(table.servers().keySet());
            if (event == 0) {
                String restarted = names.get(random.nextInt(names.size()));
                registries.put(restarted, registry(20));
                naivelyExecuted.clear();
            } else if (event == 1) {
                table = tables[random.nextInt(tables.length)];
                for (KeyHomeHistory history : histories.values()) {
                    history.activate(table);
                }
                naivelyExecuted.clear();
            }
            String key = !keys.isEmpty() && random.nextBoolean()
                    ? keys.get(random.nextInt(keys.size()))
                    : key(nowMillis + random.nextInt(3_000) - 1_500, step);
            keys.add(key);
            String home = KeyHomeHistory.homeOf(table, "/", "p", key);
            long otherHomeUntilMillis = histories.get(home).otherHomeUntilMillis("/", "p", key);
            if (registries.get(home).tryRecord("p", key, otherHomeUntilMillis)) {
                assertThat("executed twice: " + key, executed.add(key), is(true));
                accepted++;
            }
            naiveDuplicates += naivelyExecuted.add(key) ? 0 : 1;
            assertThat(registries.get(home).size(), lessThanOrEqualTo(20));
        }
        assertThat(accepted, greaterThan(0));
        assertThat(naiveDuplicates, greaterThan(0));
    }

    /** Guards against a restarted node that accepts a key whose request its predecessor may have dispatched. */
    @Test
    void acceptsOnlyProvablyNewKeysAfterStart() {
        long start = nowMillis;
        IdempotencyKeyRegistry registry = registry(100);
        nowMillis += 30_000;
        assertThat(registry.tryRecord("p", key(start + IdempotencyKeyRegistry.SAFETY_MARGIN_MILLIS, 1), 0), is(false));
        assertThat(
                registry.tryRecord("p", key(start + IdempotencyKeyRegistry.SAFETY_MARGIN_MILLIS + 1, 2), 0), is(true));
        assertThat(registry.tryRecord("p", "order-17", 0), is(false));
        nowMillis = start + WINDOW + IdempotencyKeyRegistry.SAFETY_MARGIN_MILLIS;
        assertThat(registry.tryRecord("p", "order-17", 0), is(true));
        assertThat(registry.tryRecord("p", "order-17", 0), is(false));
        assertThat(registry.tryRecord("q", "order-17", 0), is(true));
    }

    /** Guards against a registry at capacity that evicts a key and accepts it again. */
    @Test
    void rejectsEvictedKeys() {
        IdempotencyKeyRegistry registry = registry(3);
        nowMillis += 2 * WINDOW;
        for (int i = 0; i < 4; i++) {
            assertThat(registry.tryRecord("p", "k" + i, 0), is(i < 4));
            nowMillis += 1_000;
        }
        assertThat(registry.size(), is(3));
        assertThat(registry.tryRecord("p", "k0", 0), is(false));
        assertThat(registry.tryRecord("p", "k9", 0), is(false));
        nowMillis += IdempotencyKeyRegistry.SAFETY_MARGIN_MILLIS;
        assertThat(registry.tryRecord("p", key(nowMillis, 5), 0), is(true));
    }

    /** Guards against a key that blocks the retry of a request that was not executed. */
    @Test
    void acceptsForgottenKeyAgain() {
        IdempotencyKeyRegistry registry = registry(3);
        nowMillis += 2 * WINDOW;
        assertThat(registry.tryRecord("p", "k", 0), is(true));
        registry.forget("p", "k");
        assertThat(registry.tryRecord("p", "k", 0), is(true));
    }

    /** Guards against a key with a forged or invalid creation time. */
    @Test
    void rejectsCreationTimeInFutureOrBeforeWindow() {
        IdempotencyKeyRegistry registry = registry(3);
        nowMillis += 2 * WINDOW;
        assertThat(registry.tryRecord("p", key(nowMillis + 60_000, 1), 0), is(false));
        assertThat(registry.tryRecord("p", key(nowMillis - WINDOW - 1, 2), 0), is(false));
        assertThat(UuidV7.creationMillis(key(nowMillis, 3)), is(nowMillis));
        assertThat(UuidV7.creationMillis("f81d4fae-7dec-11d0-a765-00a0c91e6bf6"), is(-1L));
        assertThat(UuidV7.creationMillis("zzzzzzzz-zzzz-7zzz-8zzz-zzzzzzzzzzzz"), is(-1L));
    }
}
