package io.jaywick.core.distribution;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

import io.jaywick.core.distribution.VersionTracker.Outcome;
import io.jaywick.core.message.ContentPart;
import io.jaywick.core.message.DeltaReply;
import io.jaywick.core.message.RowChange;
import io.jaywick.core.table.TableContent;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.nullValue;

class VersionTrackerTestCase {

    private final List<Long> adopted = new ArrayList<>();
    private final TestVersionCheck check = new TestVersionCheck();
    private final VersionTracker tracker = new VersionTracker(check, snapshot -> adopted.add(snapshot.revision()));

    private Outcome offer(long revision, String text) {
        return tracker.offerContent(revision, TestVersionCheck.content(text));
    }

    private static DeltaReply delta(long base, TableContent from, long revision, TableContent to) {
        return new DeltaReply(base, from.hash().hex(), revision, to.hash().hex(), TableDelta.between(from, to));
    }

    @Test
    void staleReadChangesNothingAndReportsRegressedSource() {
        offer(5, "five");
        assertThat(tracker.offerPacked(3, "three".getBytes()), is(Outcome.NOT_NEWER));
        assertThat(tracker.revision(), is(5L));
        assertThat(tracker.sourceStatus(), is(new VersionTracker.SourceStatus(3, true)));
        tracker.offerPacked(6, "six".getBytes());
        assertThat(tracker.sourceStatus(), is(new VersionTracker.SourceStatus(6, false)));
    }

    /** Expects the highest accepted revision offered so far, and revisions that are adopted in increasing order. */
    @Property(seed = "21", tries = 500)
    void highestAcceptedRevisionIsActiveInAnyOrderOfUpdates(
            @ForAll @Size(max = 30) List<@IntRange(min = 1, max = 12) Integer> order) {
        adopted.clear();
        VersionTracker fresh = new VersionTracker(check, snapshot -> adopted.add(snapshot.revision()));
        long highest = 0;
        for (int revision : order) {
            String text = revision % 4 == 0 ? "bad" : "text" + revision;
            fresh.offerContent(revision, TestVersionCheck.content(text));
            highest = revision % 4 == 0 ? highest : Math.max(highest, revision);
            assertThat(fresh.revision(), is(highest));
        }
        assertThat(adopted, is(adopted.stream().sorted().distinct().toList()));
    }

    @Test
    void duplicateAndLateDeltasChangeNothing() {
        TableContent one = TestVersionCheck.content("a");
        TableContent two = TestVersionCheck.content("a", "b");
        TableContent three = TestVersionCheck.content("a", "c");
        offer(1, "a");
        assertThat(tracker.offerDelta(delta(1, one, 2, two)), is(Outcome.ADOPTED));
        assertThat(tracker.offerDelta(delta(1, one, 2, two)), is(Outcome.NOT_NEWER));
        assertThat(tracker.offerDelta(delta(2, two, 3, three)), is(Outcome.ADOPTED));
        assertThat(tracker.offerDelta(delta(1, one, 2, two)), is(Outcome.NOT_NEWER));
        assertThat(adopted, is(List.of(1L, 2L, 3L)));
    }

    @Test
    void deltaWithOtherBaseOrOtherResultIsUnusable() {
        TableContent one = TestVersionCheck.content("a");
        TableContent two = TestVersionCheck.content("a", "b");
        offer(1, "other");
        assertThat(tracker.offerDelta(delta(1, one, 2, two)), is(Outcome.UNUSABLE));
        offer(3, "a");
        DeltaReply good = delta(3, one, 4, two);
        List<RowChange> changed = List.of(new RowChange("parties", "b", "b,2,1000,1,,1"));
        DeltaReply forged = new DeltaReply(3, good.baseHash(), 4, good.hash(), changed);
        assertThat(tracker.offerDelta(forged), is(Outcome.UNUSABLE));
        assertThat(tracker.revision(), is(3L));
    }

    @Test
    void rejectedVersionIsCachedAndBlocksNoLaterVersion() {
        offer(1, "a");
        assertThat(offer(2, "bad"), is(Outcome.REJECTED));
        int checks = check.checkCount;
        assertThat(offer(2, "bad"), is(Outcome.REJECTED));
        assertThat(check.checkCount, is(checks));
        assertThat(tracker.shouldFetch(2, TestVersionCheck.content("bad").hash().hex()), is(false));
        assertThat(
                tracker.shouldFetch(2, TestVersionCheck.content("good").hash().hex()), is(true));
        assertThat(offer(3, "c"), is(Outcome.ADOPTED));
        assertThat(
                tracker.deltaFrom(1, TestVersionCheck.content("a").hash().hex()).revision(), is(3L));
    }

    @Test
    void conflictingContentOfActiveRevisionIsCountedOnce() {
        offer(1, "a");
        assertThat(offer(1, "b"), is(Outcome.CONFLICT));
        offer(1, "b");
        assertThat(tracker.conflictCount(), is(1L));
        assertThat(tracker.hash(), is(TestVersionCheck.content("a").hash().hex()));
        assertThat(offer(2, "b"), is(Outcome.ADOPTED));
    }

    @Test
    void deltaOverSeveralVersionsGivesTheNewestContent() {
        TableContent first = TestVersionCheck.content("a", "x");
        tracker.offerContent(1, first);
        tracker.offerContent(2, TestVersionCheck.content("a", "b"));
        tracker.offerContent(3, TestVersionCheck.content("b", "c"));
        DeltaReply delta = tracker.deltaFrom(1, first.hash().hex());
        assertThat(
                TableDelta.apply(first, delta).hash(),
                is(TestVersionCheck.content("b", "c").hash()));
        assertThat(tracker.deltaFrom(2, first.hash().hex()), is(nullValue()));
    }

    private static TableContent large(int seed) {
        Random random = new Random(seed);
        String[] parties = new String[20_000];
        Arrays.setAll(parties, i -> Long.toHexString(random.nextLong()));
        return TestVersionCheck.content(parties);
    }

    @Test
    void interruptedTransferResumesFromAnotherPeer() {
        TableContent content = large(1);
        ContentTransfer one = new ContentTransfer(7, content);
        ContentTransfer other = new ContentTransfer(7, content);
        ContentAssembly assembly = new ContentAssembly();
        assertThat(assembly.add(one.part(0)), is(true));
        while (!assembly.isComplete()) {
            assertThat(assembly.add(other.part(assembly.nextPart())), is(true));
        }
        assertThat(assembly.content().hash(), is(content.hash()));
    }

    @Test
    void transferRestartsForNewerVersionAndRejectsCorruptContent() {
        ContentTransfer older = new ContentTransfer(7, large(1));
        ContentTransfer newer = new ContentTransfer(8, large(2));
        ContentAssembly assembly = new ContentAssembly();
        assembly.add(older.part(0));
        assertThat(assembly.add(newer.part(1)), is(false));
        assertThat(assembly.nextPart(), is(0));
        while (!assembly.isComplete()) {
            ContentPart part = newer.part(assembly.nextPart());
            if (part.part() == 1) {
                part.data()[100] ^= 1;
            }
            assembly.add(part);
        }
        assertThat(assembly.content(), is(nullValue()));
    }

    /** Guards against memory exhaustion by a few bytes that inflate to gigabytes. */
    @Test
    void contentThatInflatesBeyondTheLimitIsRejected() {
        byte[] zeros = new byte[ContentTransfer.MAX_CONTENT_BYTES + 1];
        java.util.zip.Deflater deflater = new java.util.zip.Deflater();
        deflater.setInput(zeros);
        deflater.finish();
        byte[] bomb = new byte[ContentTransfer.PART_BYTES];
        int length = deflater.deflate(bomb);
        deflater.end();
        assertThat(length, is(lessThanOrEqualTo(ContentTransfer.PART_BYTES)));
        assertThat(ContentTransfer.decode(Arrays.copyOf(bomb, length)), is(nullValue()));
    }
}
