package io.jaywick.core.distribution;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import io.jaywick.core.message.SourceEntry;
import io.jaywick.core.message.SourceQuery;
import io.jaywick.core.message.SourceState;
import io.jaywick.core.message.SourceVersion;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.nullValue;
import static org.junit.jupiter.api.Assertions.assertThrows;

class SourceReplicaTestCase {

    private static final long WAIT_MILLIS = 500;

    private final SourceReplica upstream = new SourceReplica();
    private final SourceReplica follower = new SourceReplica();

    private static byte[] value(int number) {
        return ("value " + number + " of an entry").getBytes(StandardCharsets.UTF_8);
    }

    private static byte[] large(int number) {
        Random random = new Random(1);
        StringBuilder text = new StringBuilder("version " + number);
        for (int i = 0; i < 1_000; i++) {
            text.append(Long.toString(random.nextLong(), 36)).append(i == number ? "changed" : "");
        }
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static SourceQuery query(SourceReplica querying) {
        return query(querying, false);
    }

    private static SourceQuery query(SourceReplica querying, boolean whole) {
        SourceVersion held = new SourceVersion(querying.era(), querying.revision(), querying.revision(), 0, -1);
        return new SourceQuery(querying.revision(), WAIT_MILLIS, whole, held);
    }

    private List<SourceEntry> updateFollower() {
        return follower.applyState(upstream.changesSince(query(follower), 0));
    }

    @Test
    void upToDateFollowerReceivesNothing() {
        upstream.put("a", 3, value(1));
        upstream.advanceTo(3);
        updateFollower();
        assertThat(upstream.changesSince(query(follower), 0), nullValue());
    }

    /** Guards against sending a large value in full for each small change. */
    @Test
    void largeValueIsSentAsDelta() {
        upstream.put("config", 3, large(1));
        upstream.advanceTo(3);
        updateFollower();
        upstream.put("config", 4, large(2));
        upstream.advanceTo(4);
        SourceState update = upstream.changesSince(query(follower), 0);
        assertThat(update.changed().get(0).value().length, lessThan(200));
        List<SourceEntry> changes = follower.applyState(update);
        assertThat(changes, hasSize(1));
        assertThat(changes.get(0).value(), is(large(2)));
    }

    /** Guards against a removed entry that stays active on a follower. */
    @Test
    void removalsReachFollower() {
        upstream.put("a", 3, value(1));
        upstream.put("b", 4, value(2));
        upstream.advanceTo(4);
        updateFollower();
        upstream.remove("a", 5);
        upstream.advanceTo(5);
        List<SourceEntry> changes = updateFollower();
        assertThat(changes.get(0).key(), is("a"));
        assertThat(changes.get(0).removed(), is(true));
        assertThat(follower.keys(), is(upstream.keys()));
    }

    /** Guards against a lost removal: an upstream that started after its follower has not recorded earlier removals. */
    @Test
    void removalsBeforeUpstreamStartReachFollower() {
        follower.put("gone", 2, value(1));
        follower.advanceTo(2);
        upstream.put("a", 3, value(1));
        upstream.advanceTo(6);
        updateFollower();
        assertThat(follower.keys(), is(upstream.keys()));
    }

    /** Guards against applying a delta to a value other than its base, which the follower replaced meanwhile. */
    @Test
    void deltaForAnotherBaseChangesNothing() {
        upstream.put("config", 3, large(1));
        upstream.advanceTo(3);
        updateFollower();
        follower.put("config", 4, large(5));
        upstream.put("config", 5, large(2));
        upstream.advanceTo(5);
        SourceState update = upstream.changesSince(query(follower), 0);
        assertThrows(IllegalArgumentException.class, () -> follower.applyState(update));
        assertThat(follower.revision(), is(3L));
        SourceState whole = upstream.changesSince(query(follower, true), 0);
        assertThat(follower.applyState(whole).get(0).value(), is(large(2)));
    }

    /** Guards against a version regression when a peer holds an older state. */
    @Test
    void olderStateChangesNothing() {
        upstream.put("a", 3, value(1));
        upstream.advanceTo(3);
        SourceState old = upstream.changesSince(query(follower), 0);
        updateFollower();
        upstream.put("a", 9, value(2));
        upstream.advanceTo(9);
        updateFollower();
        assertThat(follower.applyState(old), hasSize(0));
        assertThat(follower.revision(), is(9L));
        assertThat(follower.put("a", 8, value(1)), is(false));
    }

    /**
     * Guards against a departed server that is used again: the answer of one peer arrives after that of another peer,
     * which had already recorded the removal.
     */
    @Test
    void lateStateDoesNotRestoreRemovedEntry() {
        upstream.put("a", 3, value(1));
        upstream.advanceTo(3);
        updateFollower();
        upstream.put("b", 5, value(2));
        upstream.advanceTo(5);
        SourceState late = upstream.changesSince(query(follower), 0);
        upstream.remove("b", 7);
        upstream.advanceTo(7);
        updateFollower();
        assertThat(follower.applyState(late), hasSize(0));
        assertThat(follower.keys(), is(upstream.keys()));
        assertThat("late event of a watch", follower.put("b", 5, value(2)), is(false));
    }

    /** Guards against a follower that diverges from the source after any order of changes, queries and upstreams. */
    @Property(tries = 200, seed = "4813")
    void followersConvergeToTheSource(@ForAll Random random) {
        Map<String, byte[]> source = new HashMap<>();
        List<SourceReplica> nodes = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            nodes.add(new SourceReplica());
        }
        for (int revision = 1; revision < 120; revision++) {
            String key = "k" + random.nextInt(8);
            if (random.nextInt(4) == 0 && source.containsKey(key)) {
                source.remove(key);
                nodes.get(0).remove(key, revision);
            } else {
                byte[] value = random.nextBoolean() ? value(revision) : large(revision);
                source.put(key, value);
                nodes.get(0).put(key, revision, value);
            }
            nodes.get(0).advanceTo(revision);
            for (int i = 0; i < random.nextInt(4); i++) {
                queryRandomPeer(nodes, random);
            }
            if (random.nextInt(40) == 0) {
                nodes.set(1 + random.nextInt(3), new SourceReplica());
            }
        }
        for (int i = 1; i < nodes.size(); i++) {
            SourceState update = nodes.get(0).changesSince(query(nodes.get(i), true), 0);
            if (update != null) {
                nodes.get(i).applyState(update);
            }
            assertThat(nodes.get(i).keys(), is(source.keySet()));
        }
    }

    private static void queryRandomPeer(List<SourceReplica> nodes, Random random) {
        SourceReplica querying = nodes.get(1 + random.nextInt(3));
        SourceReplica queried = nodes.get(random.nextInt(4));
        SourceState update = queried.changesSince(query(querying), 0);
        long before = querying.revision();
        if (update != null) {
            try {
                querying.applyState(update);
            } catch (IllegalArgumentException e) {
                querying.applyState(queried.changesSince(query(querying, true), 0));
            }
        }
        assertThat(querying.revision() >= before, is(true));
    }
}
