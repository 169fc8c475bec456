package io.jaywick.core.record;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.nullValue;
import static org.junit.jupiter.api.Assertions.assertThrows;

class UsageRecorderTestCase {

    private static final long HOUR_MILLIS = 3_600_000;

    private final List<String> lines = new ArrayList<>();
    private long nowMillis = 500_000 * HOUR_MILLIS;
    private boolean sinkFails;

    /** Guards against a call that starts before enough lines with a claim for it are written. */
    @Test
    void everyStartIsCoveredByEachLineThatMayBeTheLastCollected() {
        UsageRecorder recorder = recorder(limits(4, 64, 2, 100, 100));
        for (int started = 1; started <= 500; started++) {
            recorder.callStarted();
            for (RecordLine line : read().subList(lines.size() - 3, lines.size())) {
                assertThat(line.claimedCalls(), greaterThanOrEqualTo((long) started));
            }
        }
    }

    /** Guards against calls that run without a claim while the sink fails. */
    @Test
    void startFailsWhenClaimIsExhaustedAndSinkFails() {
        UsageRecorder recorder = recorder(limits(1, 1, 0, 100, 100));
        recorder.callStarted();
        recorder.callStarted();
        sinkFails = true;
        assertThrows(UsageClaimException.class, recorder::callStarted);
        sinkFails = false;
        recorder.callStarted();
        recorder.close();
        assertThat(read().get(lines.size() - 1).claimedCalls(), equalTo(3L));
    }

    /** Guards against counters that are lost when their line cannot be written. */
    @Test
    void countersOfFailedLineAreWrittenInNextLine() {
        UsageRecorder recorder = recorder(limits(8, 8, 0, 100, 100));
        call(recorder, "a");
        nowMillis += HOUR_MILLIS;
        sinkFails = true;
        assertThrows(IllegalStateException.class, recorder::writeCounters);
        sinkFails = false;
        recorder.close();
        assertThat(endedCalls(mergeLines()), equalTo(1L));
    }

    /** Guards against unbounded memory and against calls that are not counted beyond the limit. */
    @Test
    void keysBeyondLimitAreCountedAsOverflow() {
        UsageRecorder recorder = recorder(limits(8, 8, 0, 3, 100));
        for (int i = 0; i < 10; i++) {
            call(recorder, "party" + i);
        }
        recorder.close();
        MergedProcess process = mergeLines();
        assertThat(process.entries().keySet(), hasSize(4));
        UsageCounters overflow = process.entries().get(UsageKey.overflow(500_000));
        assertThat(overflow.endedCalls(), equalTo(7L));
    }

    /** Guards against counters of an ended hour that are lost when the hour changes or the clock steps back. */
    @Test
    void clockStepBackDoesNotReopenHour() {
        UsageRecorder recorder = recorder(limits(8, 8, 0, 100, 1));
        call(recorder, "a");
        nowMillis += HOUR_MILLIS;
        call(recorder, "a");
        recorder.writeCounters();
        nowMillis -= HOUR_MILLIS;
        call(recorder, "a");
        recorder.close();
        MergedProcess process = mergeLines();
        assertThat(process.gap(null), nullValue());
        assertThat(process.entries().get(key("a", 500_000)).endedCalls(), equalTo(1L));
        assertThat(process.entries().get(key("a", 500_001)).endedCalls(), equalTo(2L));
    }

    /** Guards against names of region-bound calls in lines of nodes outside their home regions. */
    @Test
    void regionBoundCallsAreNamedOnlyInHomeRegions() {
        UsageRecorder recorder = recorder(limits(8, 8, 0, 100, 100));
        recorder.callStarted();
        recorder.callEnded(usage("secret", true, false));
        recorder.callStarted();
        recorder.callEnded(usage("named", true, true));
        recorder.close();
        assertThat(String.join("", lines).contains("secret"), equalTo(false));
        assertThat(mergeLines().entries().get(key("named", 500_000)).endedCalls(), equalTo(1L));
        assertThat(
                mergeLines()
                        .entries()
                        .get(UsageKey.regionBound("gulf", false, 500_000))
                        .endedCalls(),
                equalTo(1L));
    }

    /** Guards against a shutdown after which calls in flight are not reported as missing. */
    @Test
    void callsInFlightAtShutdownStayClaimed() {
        UsageRecorder recorder = recorder(limits(8, 8, 0, 100, 100));
        call(recorder, "a");
        recorder.callStarted();
        recorder.close();
        assertThat(mergeLines().gap(null).callBound(), equalTo(1L));
        assertThat(mergeLines().gap(null).hasFinalLine(), equalTo(true));
    }

    /** Guards against a claim that stays large after the load has ended. */
    @Test
    void claimOfIdleProcessShrinks() {
        UsageRecorder recorder = recorder(limits(4, 10_000, 2, 100, 100));
        for (int i = 0; i < 5_000; i++) {
            call(recorder, "a");
        }
        for (int i = 0; i < 40; i++) {
            recorder.writeCounters();
        }
        assertThat(mergeLines().gap(null).callBound(), lessThanOrEqualTo(4L));
    }

    /** Guards against lines with many counters for few calls and against counters that are not written for too long. */
    @Test
    void countersAreWrittenAfterEnoughCallsOrLines() {
        UsageRecorder recorder = recorder(new RecorderLimits(64, 64, 0, 100, 100, 16, 3, 1));
        for (int line = 1; line <= 9; line++) {
            call(recorder, "a");
            recorder.writeCounters();
        }
        List<RecordLine> written = read().stream()
                .filter(line -> line.kind() == RecordLineKind.COUNTERS)
                .toList();
        List<Boolean> withCounters =
                written.stream().map(line -> !line.entries().isEmpty()).toList();
        assertThat(withCounters, equalTo(List.of(false, false, false, true, false, false, false, true, false)));
        assertThat(written.get(8).endedCalls(), equalTo(9L));
        assertThat(mergeLines().gap(null).missingCalls(), equalTo(1L));
        for (int i = 0; i < 16; i++) {
            call(recorder, "a");
        }
        recorder.writeCounters();
        assertThat(mergeLines().gap(null).missingCalls(), equalTo(0L));
    }

    /** Guards against responses of the admin port that change the record or are counted in addition to it. */
    @Test
    void queryLinesMergeWithWrittenLines() {
        UsageRecorder recorder = recorder(limits(8, 8, 0, 100, 100));
        call(recorder, "a");
        List<String> current = recorder.currentLines();
        recorder.writeCounters();
        lines.addAll(0, current);
        recorder.close();
        assertThat(endedCalls(mergeLines()), equalTo(1L));
        assertThat(mergeLines().gap(null), nullValue());
    }

    private UsageRecorder recorder(RecorderLimits limits) {
        RecorderIdentity identity = new RecorderIdentity("s1", "d1", "gulf", nowMillis, 7);
        return new UsageRecorder(
                identity,
                () -> Instant.ofEpochMilli(nowMillis),
                line -> {
                    if (sinkFails) {
                        throw new IllegalStateException("sink is closed");
                    }
                    lines.add(line);
                },
                limits,
                () -> {},
                List::of);
    }

    private static RecorderLimits limits(long smallest, long largest, int lostLines, int keys, int entries) {
        return new RecorderLimits(smallest, largest, lostLines, keys, entries, 0, 0, 1);
    }

    private static void call(UsageRecorder recorder, String party) {
        recorder.callStarted();
        recorder.callEnded(usage(party, false, false));
    }

    private static CallUsage usage(String party, boolean bound, boolean home) {
        return new CallUsage(party, "svc", "r", "gulf", bound, home, 1, 0, CallOutcome.ANSWERED, "", 10, 20, "", 0);
    }

    private static UsageKey key(String party, long hour) {
        return new UsageKey("", party, "svc", "r", "gulf", false, hour);
    }

    private List<RecordLine> read() {
        RecordLineReader reader = new RecordLineReader();
        List<RecordLine> read = new ArrayList<>();
        for (String line : lines) {
            byte[] bytes = line.getBytes(StandardCharsets.UTF_8);
            read.add(reader.read(bytes, bytes.length));
        }
        return read;
    }

    private MergedProcess mergeLines() {
        RecordMerger merger = new RecordMerger();
        read().forEach(merger::merge);
        List<MergedProcess> processes = new ArrayList<>();
        merger.finish((process, gap) -> processes.add(process), merger);
        assertThat(processes, hasSize(1));
        return processes.get(0);
    }

    private static long endedCalls(MergedProcess process) {
        return process.entries().values().stream()
                .mapToLong(UsageCounters::endedCalls)
                .sum();
    }
}
