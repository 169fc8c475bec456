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

    private IdempotencyKeyRegistry memory(int capacity) {
        return new IdempotencyKeyRegistry(WINDOW, capacity, () -> Instant.ofEpochMilli(nowMillis));
    }

    private static String key(long created, long id) {
        return UuidV7.of(created, id, id);
    }

    /** Guards against a key that runs twice in its window, at its first home and after each move or restart (I9). */
    @Property(tries = 200, seed = FIXED_SEED)
    void noKeyRunsTwiceOverMovesAndRestarts(@ForAll Random random) {
        Snapshot[] tables = {
            Tables.table(Map.of("x", 100), 1, Set.of(), false, Set.of()),
            Tables.table(Map.of("x", 100), 1, Set.of("a1"), false, Set.of()),
            Tables.table(Map.of("x", 100), 1, Set.of("b1"), false, Set.of())
        };
        Snapshot table = tables[0];
        Map<String, IdempotencyKeyRegistry> memories = new HashMap<>();
        Map<String, KeyHomeHistory> placements = new HashMap<>();
        for (String server : table.servers().keySet()) {
            memories.put(server, memory(20));
            placements.put(server, new KeyHomeHistory(server, WINDOW, () -> Instant.ofEpochMilli(nowMillis)));
            placements.get(server).activate(table);
        }
        List<String> keys = new ArrayList<>();
        Set<String> ran = new HashSet<>();
        Set<String> naiveRan = new HashSet<>();
        int accepted = 0;
        int naiveTwice = 0;
        for (int step = 0; step < 400; step++) {
            nowMillis += random.nextInt(2_000);
            int event = random.nextInt(60);
            List<String> names = List.copyOf(table.servers().keySet());
            if (event == 0) {
                String restarted = names.get(random.nextInt(names.size()));
                memories.put(restarted, memory(20));
                naiveRan.clear();
            } else if (event == 1) {
                table = tables[random.nextInt(tables.length)];
                for (KeyHomeHistory placement : placements.values()) {
                    placement.activate(table);
                }
                naiveRan.clear();
            }
            String key = !keys.isEmpty() && random.nextBoolean()
                    ? keys.get(random.nextInt(keys.size()))
                    : key(nowMillis + random.nextInt(3_000) - 1_500, step);
            keys.add(key);
            String home = KeyHomeHistory.homeOf(table, "/", "p", key);
            long elsewhere = placements.get(home).otherHomeUntilMillis("/", "p", key);
            if (memories.get(home).tryRecord("p", key, elsewhere)) {
                assertThat("ran twice: " + key, ran.add(key), is(true));
                accepted++;
            }
            naiveTwice += naiveRan.add(key) ? 0 : 1;
            assertThat(memories.get(home).size(), lessThanOrEqualTo(20));
        }
        assertThat(accepted, greaterThan(0));
        assertThat(naiveTwice, greaterThan(0));
    }

    /** Guards against a starting node that accepts a key which its predecessor may have run. */
    @Test
    void afterAStartOnlyProvablyNewKeysAreAccepted() {
        long start = nowMillis;
        IdempotencyKeyRegistry memory = memory(100);
        nowMillis += 30_000;
        assertThat(memory.tryRecord("p", key(start + IdempotencyKeyRegistry.SAFETY_MARGIN_MILLIS, 1), 0), is(false));
        assertThat(memory.tryRecord("p", key(start + IdempotencyKeyRegistry.SAFETY_MARGIN_MILLIS + 1, 2), 0), is(true));
        assertThat(memory.tryRecord("p", "order-17", 0), is(false));
        nowMillis = start + WINDOW + IdempotencyKeyRegistry.SAFETY_MARGIN_MILLIS;
        assertThat(memory.tryRecord("p", "order-17", 0), is(true));
        assertThat(memory.tryRecord("p", "order-17", 0), is(false));
        assertThat(memory.tryRecord("q", "order-17", 0), is(true));
    }

    /** Guards against a full memory that forgets a key and accepts it again. */
    @Test
    void forgottenKeysStayRefused() {
        IdempotencyKeyRegistry memory = memory(3);
        nowMillis += 2 * WINDOW;
        for (int i = 0; i < 4; i++) {
            assertThat(memory.tryRecord("p", "k" + i, 0), is(i < 4));
            nowMillis += 1_000;
        }
        assertThat(memory.size(), is(3));
        assertThat(memory.tryRecord("p", "k0", 0), is(false));
        assertThat(memory.tryRecord("p", "k9", 0), is(false));
        nowMillis += IdempotencyKeyRegistry.SAFETY_MARGIN_MILLIS;
        assertThat(memory.tryRecord("p", key(nowMillis, 5), 0), is(true));
    }

    /** Guards against a withdrawn key that blocks the resend of a request that never ran. */
    @Test
    void withdrawnKeyMayBeSentAgain() {
        IdempotencyKeyRegistry memory = memory(3);
        nowMillis += 2 * WINDOW;
        assertThat(memory.tryRecord("p", "k", 0), is(true));
        memory.forget("p", "k");
        assertThat(memory.tryRecord("p", "k", 0), is(true));
    }

    /** Guards against a key with a forged or broken creation time. */
    @Test
    void creationTimeFromTheFutureOrBeforeTheWindowProvesNothing() {
        IdempotencyKeyRegistry memory = memory(3);
        nowMillis += 2 * WINDOW;
        assertThat(memory.tryRecord("p", key(nowMillis + 60_000, 1), 0), is(false));
        assertThat(memory.tryRecord("p", key(nowMillis - WINDOW - 1, 2), 0), is(false));
        assertThat(UuidV7.creationMillis(key(nowMillis, 3)), is(nowMillis));
        assertThat(UuidV7.creationMillis("f81d4fae-7dec-11d0-a765-00a0c91e6bf6"), is(-1L));
        assertThat(UuidV7.creationMillis("zzzzzzzz-zzzz-7zzz-8zzz-zzzzzzzzzzzz"), is(-1L));
    }
}
