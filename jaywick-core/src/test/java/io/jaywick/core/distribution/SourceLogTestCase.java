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
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.nullValue;
import static org.junit.jupiter.api.Assertions.assertThrows;

class SourceLogTestCase {

    private static final long WAIT_MILLIS = 500;

    private final SourceLog upstream = new SourceLog();
    private final SourceLog follower = new SourceLog();

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

    private static SourceQuery query(SourceLog asking) {
        return new SourceQuery(asking.revision(), WAIT_MILLIS, false);
    }

    private List<SourceEntry> follow() {
        return follower.adopt(upstream.newerThan(query(follower), 0));
    }

    @Test
    void followerThatIsCurrentGetsNothing() {
        upstream.put("a", 3, value(1));
        upstream.reached(3);
        follow();
        assertThat(upstream.newerThan(query(follower), 0), nullValue());
    }

    /** Guards against a large value that is sent whole for each small change. */
    @Test
    void followerGetsTheDifferenceOfALargeValue() {
        upstream.put("config", 3, large(1));
        upstream.reached(3);
        follow();
        upstream.put("config", 4, large(2));
        upstream.reached(4);
        SourceState news = upstream.newerThan(query(follower), 0);
        assertThat(news.changed().get(0).value().length, lessThan(200));
        List<SourceEntry> changes = follower.adopt(news);
        assertThat(changes, hasSize(1));
        assertThat(changes.get(0).value(), is(large(2)));
    }

    /** Guards against an entry that stays in use at a follower after it was removed. */
    @Test
    void removalsReachAFollower() {
        upstream.put("a", 3, value(1));
        upstream.put("b", 4, value(2));
        upstream.reached(4);
        follow();
        upstream.remove("a", 5);
        upstream.reached(5);
        List<SourceEntry> changes = follow();
        assertThat(changes.get(0).key(), is("a"));
        assertThat(changes.get(0).removed(), is(true));
        assertThat(follower.keys(), is(upstream.keys()));
    }

    /** Guards against removals that an upstream missed, because it started later than its follower. */
    @Test
    void removalsBeforeTheUpstreamsStartReachAFollower() {
        follower.put("gone", 2, value(1));
        follower.reached(2);
        upstream.put("a", 3, value(1));
        upstream.reached(6);
        follow();
        assertThat(follower.keys(), is(upstream.keys()));
    }

    /** Guards against a difference that is applied to another value than the one it leads on from. */
    @Test
    void differenceToAnotherBaseChangesNothing() {
        upstream.put("config", 3, large(1));
        upstream.reached(3);
        follow();
        follower.put("config", 4, large(5));
        upstream.put("config", 5, large(2));
        upstream.reached(5);
        SourceState news = upstream.newerThan(query(follower), 0);
        assertThrows(IllegalArgumentException.class, () -> follower.adopt(news));
        assertThat(follower.revision(), is(3L));
        SourceState whole = upstream.newerThan(new SourceQuery(follower.revision(), WAIT_MILLIS, true), 0);
        assertThat(follower.adopt(whole).get(0).value(), is(large(2)));
    }

    /** Guards against a node that goes back because a peer knows less. */
    @Test
    void olderNewsChangeNothing() {
        upstream.put("a", 3, value(1));
        upstream.reached(3);
        SourceState old = upstream.newerThan(query(follower), 0);
        follow();
        upstream.put("a", 9, value(2));
        upstream.reached(9);
        follow();
        assertThat(follower.adopt(old), hasSize(0));
        assertThat(follower.revision(), is(9L));
        assertThat(follower.put("a", 8, value(1)), is(false));
    }

    /**
     * Guards against a server that left and is in use again: the answer of one peer comes after that of another one, which
     * knew of the removal.
     */
    @Test
    void lateNewsListNoRemovedEntryAgain() {
        upstream.put("a", 3, value(1));
        upstream.reached(3);
        follow();
        upstream.put("b", 5, value(2));
        upstream.reached(5);
        SourceState late = upstream.newerThan(query(follower), 0);
        upstream.remove("b", 7);
        upstream.reached(7);
        follow();
        assertThat(follower.adopt(late), hasSize(0));
        assertThat(follower.keys(), is(upstream.keys()));
        assertThat("an event of a late watch", follower.put("b", 5, value(2)), is(false));
    }

    /** Guards against a follower that differs from the source after any order of changes, asks and changes of upstream. */
    @Property(tries = 200, seed = "4813")
    void followersEndWithWhatTheSourceHolds(@ForAll Random random) {
        Map<String, byte[]> source = new HashMap<>();
        List<SourceLog> nodes = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            nodes.add(new SourceLog());
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
            nodes.get(0).reached(revision);
            for (int i = 0; i < random.nextInt(4); i++) {
                ask(nodes, random);
            }
            if (random.nextInt(40) == 0) {
                nodes.set(1 + random.nextInt(3), new SourceLog());
            }
        }
        for (int i = 1; i < nodes.size(); i++) {
            SourceState news =
                    nodes.get(0).newerThan(new SourceQuery(nodes.get(i).revision(), WAIT_MILLIS, true), 0);
            if (news != null) {
                nodes.get(i).adopt(news);
            }
            assertThat(nodes.get(i).keys(), is(source.keySet()));
        }
    }

    private static void ask(List<SourceLog> nodes, Random random) {
        SourceLog asking = nodes.get(1 + random.nextInt(3));
        SourceLog asked = nodes.get(random.nextInt(4));
        SourceState news = asked.newerThan(query(asking), 0);
        long before = asking.revision();
        if (news != null) {
            try {
                asking.adopt(news);
            } catch (IllegalArgumentException e) {
                asking.adopt(asked.newerThan(new SourceQuery(before, WAIT_MILLIS, true), 0));
            }
        }
        assertThat(asking.revision() >= before, is(true));
    }
}
