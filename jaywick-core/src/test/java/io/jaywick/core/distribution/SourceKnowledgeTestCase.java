package io.jaywick.core.distribution;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.jaywick.core.message.SourceEntry;
import io.jaywick.core.message.SourceQuery;
import io.jaywick.core.message.SourceState;
import io.jaywick.core.message.SourceVersion;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.nullValue;
import static org.junit.jupiter.api.Assertions.assertThrows;

class SourceKnowledgeTestCase {

    private static final long WAIT_MILLIS = 500;

    private static final long RETENTION_MILLIS = 1_000;

    private final AtomicLong nanos = new AtomicLong(7);
    private final SourceKnowledge upstream = newKnowledge();
    private final SourceKnowledge follower = newKnowledge();

    /** Retains all states of a former era until they are written again. */
    private SourceKnowledge newKnowledge() {
        return new SourceKnowledge((known, listed, isWritten) -> isWritten ? 0 : RETENTION_MILLIS, nanos::get);
    }

    private static SourceEntry entry(String key, long revision, String value) {
        return new SourceEntry(key, revision, value.getBytes(StandardCharsets.UTF_8), false, false, 0, 0, 0);
    }

    private static SourceEntry removal(String key, long revision) {
        return new SourceEntry(key, revision, new byte[0], true, false, 0, 0, 0);
    }

    private static String large(int number) {
        Random random = new Random(1);
        StringBuilder text = new StringBuilder("version " + number);
        for (int i = 0; i < 1_000; i++) {
            text.append(Long.toString(random.nextLong(), 36));
        }
        return text.toString();
    }

    private static SourceQuery queryOf(SourceKnowledge querying) {
        return new SourceQuery(querying.version().revision(), WAIT_MILLIS, false, querying.version());
    }

    private List<SourceEntry> updateFollower() {
        return follower.applyState(upstream.changesSince(queryOf(follower), 0, 0));
    }

    private static List<String> texts(List<SourceEntry> entries) {
        return entries.stream()
                .map(entry -> entry.key() + "="
                        + (entry.removed() ? "removed" : new String(entry.value(), StandardCharsets.UTF_8)))
                .sorted()
                .toList();
    }

    /** Guards against a follower that refuses a newer era because its revisions are lower. */
    @Test
    void followerInAnOlderEraReceivesAllEntries() {
        upstream.applyRead(1, 90, List.of(entry("a", 80, "1"), entry("b", 85, "1")));
        updateFollower();
        upstream.applyRead(2, 40, List.of(entry("a", 30, "1"), entry("c", 35, "1")));
        upstream.applyChanges(42, List.of(entry("b", 42, "2")));
        assertThat(texts(updateFollower()), is(List.of("b=2", "c=1")));
        assertThat(follower.version(), is(new SourceVersion(2, 42, 40, 1, 90)));
    }

    /** Guards against a value in full on every link, although only its revision is new. */
    @Test
    void largeValueOfANewEraIsSentAsDeltaOnTheFormerOne() {
        upstream.applyRead(1, 90, List.of(entry("config", 80, large(1))));
        updateFollower();
        upstream.applyRead(2, 95, List.of(entry("config", 95, large(2))));
        SourceState update = upstream.changesSince(queryOf(follower), 0, 0);
        assertThat(update.changed().get(0).value().length, lessThan(200));
        follower.applyState(update);
        assertThat(follower.version().era(), is(2L));
    }

    /** Guards against a delta on the value that has the same revision in another era. */
    @Test
    void deltaOnARevisionOfAnotherEraChangesNothing() {
        upstream.applyRead(1, 90, List.of(entry("config", 80, large(1))));
        follower.applyRead(2, 90, List.of(entry("config", 80, large(3))));
        upstream.applyRead(3, 95, List.of(entry("config", 95, large(2))));
        SourceState update = upstream.changesSince(queryOf(follower), 0, 0);
        assertThrows(IllegalArgumentException.class, () -> follower.applyState(update));
        assertThat(follower.version(), is(new SourceVersion(2, 90, 90, 0, -1)));
    }

    /** Guards against the first state of an era that lacks entries, which would count as removed. */
    @Test
    void incompleteStateOfANewEraChangesNothing() {
        follower.applyRead(1, 90, List.of(entry("a", 80, "1")));
        SourceState incomplete = new SourceState(
                40,
                List.of(entry("a", 30, "1")),
                List.of("a", "b"),
                0,
                new SourceVersion(2, 40, 40, 1, 90),
                List.of(),
                0);
        assertThrows(IllegalArgumentException.class, () -> follower.applyState(incomplete));
        assertThat(follower.version().era(), is(1L));
    }

    /** Guards against a regress to the former era by a peer that has missed the return. */
    @Test
    void stateOfAnOlderEraChangesNothing() {
        upstream.applyRead(1, 90, List.of(entry("a", 80, "1")));
        SourceState old = upstream.changesSince(queryOf(follower), 0, 0);
        follower.applyRead(2, 40, List.of(entry("a", 30, "0")));
        assertThat(follower.applyState(old), empty());
        assertThat(upstream.changesSince(queryOf(follower), 0, 0), nullValue());
        assertThat(follower.applyRead(1, 95, List.of(entry("a", 95, "2"))), empty());
    }

    @Test
    void retainedStateIsUsedUntilItIsWrittenAgain() {
        follower.applyRead(1, 90, List.of(entry("a", 80, "1"), entry("b", 85, "1")));
        assertThat(follower.applyRead(2, 40, List.of(entry("a", 30, "0"))), empty());
        assertThat(texts(follower.applyChanges(41, List.of(entry("a", 41, "1")))), empty());
        assertThat(texts(follower.applyChanges(42, List.of(entry("a", 42, "2")))), is(List.of("a=2")));
        assertThat(follower.retainedCount(), is(1));
    }

    /** Guards against a retained entry that outlives its removal, because the copy lacks it as well. */
    @Test
    void removalEndsTheRetentionOfAnEntryThatIsNotListed() {
        follower.applyRead(1, 90, List.of(entry("b", 85, "1")));
        follower.applyRead(2, 40, List.of());
        assertThat(texts(follower.applyChanges(41, List.of(removal("b", 41)))), is(List.of("b=removed")));
    }

    @Test
    void retentionEndsWithTime() {
        follower.applyRead(1, 90, List.of(entry("a", 80, "1"), entry("b", 85, "1")));
        follower.applyRead(2, 40, List.of(entry("a", 30, "0"), entry("b", 31, "1")));
        assertThat(follower.removeExpired(), empty());
        nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(follower.millisUntilExpiry()));
        assertThat(texts(follower.removeExpired()), is(List.of("a=0")));
        assertThat(follower.millisUntilExpiry(), is(-1L));
    }

    /** Guards against a node that starts after the return and knows only what the copy holds. */
    @Test
    void startedPeerReceivesRetainedEntries() {
        upstream.applyRead(1, 90, List.of(entry("a", 80, "1")));
        upstream.applyChanges(91, List.of(entry("c", 91, "1")));
        upstream.applyChanges(92, List.of(removal("c", 92)));
        List<SourceEntry> copy = List.of(entry("a", 30, "0"), entry("c", 31, "1"));
        upstream.applyRead(2, 40, copy);
        assertThat(texts(follower.applyRead(2, 40, copy)), is(List.of("a=0", "c=1")));
        assertThat(texts(updateFollower()), is(List.of("a=1", "c=removed")));
        assertThat("sent once", upstream.changesSince(queryOf(follower), 0, 0), nullValue());
        assertThat(texts(follower.applyChanges(41, List.of(entry("a", 41, "2")))), is(List.of("a=2")));
    }

    /** Guards against retained states of a peer that replace what this node has seen written since. */
    @Test
    void writtenEntryIsNotReplacedByTheRetainedOneOfAPeer() {
        upstream.applyRead(1, 90, List.of(entry("a", 80, "1")));
        upstream.applyRead(2, 40, List.of(entry("a", 30, "0")));
        SourceState late = upstream.changesSince(queryOf(follower), 0, 0);
        follower.applyRead(2, 40, List.of(entry("a", 30, "0")));
        follower.applyChanges(41, List.of(entry("a", 41, "2")));
        assertThat(follower.applyState(late), empty());
    }

    /** Guards against a policy that decodes every retained entry with each batch of changes. */
    @Test
    void onlyChangedEntriesAreComparedAgain() {
        List<String> compared = new ArrayList<>();
        SourceKnowledge knowledge = new SourceKnowledge(
                (known, listed, isWritten) -> {
                    compared.add(known.key());
                    return isWritten ? 0 : RETENTION_MILLIS;
                },
                nanos::get);
        knowledge.applyRead(1, 90, List.of(entry("a", 80, "1"), entry("b", 85, "1")));
        knowledge.applyRead(2, 40, List.of(entry("a", 30, "0"), entry("b", 31, "0")));
        compared.clear();
        knowledge.applyChanges(41, List.of(entry("c", 41, "1")));
        assertThat(compared, empty());
        assertThat(texts(knowledge.applyChanges(42, List.of(entry("b", 42, "2")))), is(List.of("b=2")));
        assertThat(compared, is(List.of("b")));
    }

    /** Guards against a removal that is forgotten at the first return and undone by a second, older copy. */
    @Test
    void removalIsRememberedBeyondAReturnThatDoesNotListTheEntry() {
        follower.applyRead(1, 90, List.of(entry("a", 80, "1")));
        follower.applyChanges(91, List.of(removal("a", 91)));
        follower.applyRead(2, 60, List.of());
        assertThat(follower.applyRead(3, 40, List.of(entry("a", 30, "1"))), empty());
        assertThat(follower.retainedCount(), is(1));
    }

    /** Guards against a node of the previous version that gets nothing from one of this version. */
    @Test
    void peerThatDoesNotKnowErasReceivesChangesByRevision() {
        upstream.applyRead(2, 40, List.of(entry("a", 30, "0")));
        upstream.applyChanges(41, List.of(entry("b", 41, "1")));
        SourceState update = upstream.changesSince(new SourceQuery(40, WAIT_MILLIS, false, null), 0, 0);
        assertThat(update.changed(), hasSize(1));
        assertThat(upstream.changesSince(new SourceQuery(41, WAIT_MILLIS, false, null), 0, 0), nullValue());
        SourceState old = new SourceState(50, List.of(entry("b", 50, "2")), List.of(), 0, null, List.of(), 0);
        assertThat(follower.applyState(old), empty());
    }

    /**
     * Guards against a node that retains an entry although it was written again: it has read the source only after the
     * entry had been removed, so that only its peers know of the removal.
     */
    @Test
    void peerThatReadEarlierTellsWhatWasWrittenSince() {
        for (SourceKnowledge knowledge : List.of(upstream, follower)) {
            knowledge.applyRead(1, 90, List.of(entry("a", 80, "1"), entry("b", 81, "1")));
        }
        upstream.applyRead(2, 40, List.of(entry("b", 30, "0")));
        upstream.applyChanges(42, List.of(removal("a", 41), entry("b", 42, "0")));
        assertThat(follower.applyRead(2, 42, List.of(entry("b", 42, "0"))), empty());
        assertThat(texts(updateFollower()), is(List.of("a=removed", "b=0")));
        assertThat(upstream.changesSince(queryOf(follower), 0, 0), nullValue());
    }

    /** Guards against a node that claims to have seen the changes between two complete reads of one era. */
    @Test
    void readDoesNotShowRemovalsOfEntriesThatWereNotListed() {
        follower.applyRead(1, 90, List.of(entry("a", 80, "1")));
        follower.applyRead(2, 40, List.of());
        assertThat(follower.applyRead(2, 42, List.of()), empty());
        assertThat(follower.version(), is(new SourceVersion(2, 42, 42, 1, 90)));
        assertThat(follower.retainedCount(), is(1));
    }
}
