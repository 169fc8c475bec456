package io.jaywick.core.record;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.ByteRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class RecordMergerPropertyTestCase {

    private static final String SEED = "20261204";

    private final List<String> lines = new ArrayList<>();
    private long started;

    /** Guards against a merge that depends on the order or repetition of lines or differs from {@link NaiveMerge}. */
    @Property(seed = SEED, tries = 100, shrinking = ShrinkingMode.OFF)
    void mergeMatchesNaiveMergeInAnyOrder(@ForAll @IntRange(min = 0, max = 1_000_000) int choice) {
        List<RecordLine> read = write(choice);
        Map<UsageKey, Map<String, Long>> expected = NaiveMerge.sums(read);
        List<RecordLine> shuffled = new ArrayList<>(read);
        shuffled.addAll(read.subList(0, read.size() / 2));
        Collections.shuffle(shuffled, new Random(choice));
        assertThat(sums(shuffled, Integer.MAX_VALUE), equalTo(expected));
        assertThat(sums(shuffled, 1 + choice % 7), equalTo(expected));
    }

    /**
     * Guards against missing calls beyond the reported bound. Up to two of the last lines and any of the earlier lines
     * of a killed process are lost.
     */
    @Property(seed = SEED, tries = 100, shrinking = ShrinkingMode.OFF)
    void missingCallsStayWithinBound(@ForAll @IntRange(min = 0, max = 1_000_000) int choice) {
        List<RecordLine> read = write(choice);
        Random random = new Random(choice);
        List<RecordLine> kept = new ArrayList<>(read.subList(0, read.size() - random.nextInt(3)));
        RecordLine last = kept.get(kept.size() - 1);
        kept.removeIf(line -> line != last && random.nextInt(3) == 0);
        RecordMerger merger = new RecordMerger();
        kept.forEach(merger::merge);
        merger.finish(
                (process, gap) -> {
                    long counted = process.entries().values().stream()
                            .mapToLong(UsageCounters::endedCalls)
                            .sum();
                    long bound = gap == null ? 0 : gap.callBound();
                    assertThat(counted, lessThanOrEqualTo(started));
                    assertThat(counted + bound, greaterThanOrEqualTo(started));
                    assertThat(gap == null ? 0 : gap.missingCalls(), lessThanOrEqualTo(bound));
                },
                merger);
    }

    /** Guards against a reader that accepts arbitrary bytes or fails with another exception. */
    @Property(seed = SEED, tries = 2_000, shrinking = ShrinkingMode.OFF)
    void rejectsArbitraryBytes(@ForAll @Size(max = 200) byte[] bytes) {
        assertThat(isAccepted(bytes), equalTo(false));
    }

    /** Guards against a changed byte that is accepted as data, including a change in the checksum. */
    @Property(seed = SEED, tries = 2_000, shrinking = ShrinkingMode.OFF)
    void rejectsLineWithChangedByte(
            @ForAll @IntRange(min = 0, max = 100_000) int index, @ForAll @ByteRange(min = 1, max = 127) byte mask) {
        byte[] bytes = sample();
        bytes[index % bytes.length] ^= mask;
        assertThat(isAccepted(bytes), equalTo(false));
    }

    /**
     * Guards against unexpected exceptions on invalid content with a valid checksum: the reader must return a line or
     * throw {@link RecordLineException}.
     */
    @Property(seed = SEED, tries = 2_000, shrinking = ShrinkingMode.OFF)
    void readsOrRejectsDamagedLineWithValidChecksum(
            @ForAll @IntRange(min = 0, max = 100_000) int from,
            @ForAll @IntRange(min = 0, max = 100_000) int to,
            @ForAll @Size(max = 20) byte[] inserted) {
        byte[] bytes = sample();
        String text = new String(bytes, StandardCharsets.ISO_8859_1);
        String body = text.substring(0, text.lastIndexOf(",\"check\""));
        int first = Math.min(from % body.length(), to % body.length());
        int last = Math.max(from % body.length(), to % body.length());
        String changed =
                body.substring(0, first) + new String(inserted, StandardCharsets.ISO_8859_1) + body.substring(last);
        byte[] changedBytes = changed.getBytes(StandardCharsets.ISO_8859_1);
        String check = RecordLineWriter.checksum(changedBytes);
        isAccepted((changed + ",\"check\":\"" + check + "\"}").getBytes(StandardCharsets.ISO_8859_1));
    }

    private static boolean isAccepted(byte[] bytes) {
        try {
            new RecordLineReader().read(bytes, bytes.length);
            return true;
        } catch (RecordLineException e) {
            return false;
        }
    }

    private byte[] sample() {
        write(11);
        String longest = lines.stream().max((a, b) -> a.length() - b.length()).orElseThrow();
        return longest.getBytes(StandardCharsets.UTF_8);
    }

    /** Simulates a process with random calls that is killed at the end, and returns its lines. */
    private List<RecordLine> write(int choice) {
        Random random = new Random(choice);
        lines.clear();
        started = 0;
        long[] nowMillis = {1_000_000_000_000L};
        UsageRecorder recorder = new UsageRecorder(
                new RecorderIdentity("s", "d", "r", 5, 6),
                () -> Instant.ofEpochMilli(nowMillis[0]),
                lines::add,
                new RecorderLimits(4, 100, 2, 5, 3, random.nextInt(3), random.nextInt(3), 2),
                () -> {},
                List::of);
        int intervals = 3 + random.nextInt(20);
        for (int i = 0; i < intervals; i++) {
            int calls = random.nextInt(30);
            for (int call = 0; call < calls; call++) {
                recorder.callStarted();
                started++;
                if (random.nextInt(10) > 0) {
                    recorder.callEnded(usage(random));
                }
            }
            nowMillis[0] += 900_000;
            recorder.writeCounters();
        }
        RecordLineReader reader = new RecordLineReader();
        List<RecordLine> read = new ArrayList<>();
        for (String line : lines) {
            byte[] bytes = line.getBytes(StandardCharsets.UTF_8);
            read.add(reader.read(bytes, bytes.length));
        }
        return read;
    }

    private static CallUsage usage(Random random) {
        boolean refused = random.nextInt(4) == 0;
        return new CallUsage(
                "p\u00e4rty " + random.nextInt(8),
                "s",
                "r",
                "gulf",
                false,
                false,
                1 + random.nextInt(2),
                random.nextInt(2),
                refused ? CallOutcome.NOT_RUN : CallOutcome.ANSWERED,
                refused ? "cold" : "",
                random.nextInt(100),
                random.nextInt(100),
                "a>b",
                random.nextInt(2));
    }

    private static Map<UsageKey, Map<String, Long>> sums(List<RecordLine> lines, int spillAfter) {
        RecordMerger merger = new RecordMerger();
        for (int i = 0; i < lines.size(); i++) {
            merger.merge(lines.get(i));
            if (i % spillAfter == spillAfter - 1) {
                List<RecordLine> spilled = new ArrayList<>();
                merger.drain(spilled::add);
                spilled.forEach(merger::merge);
            }
        }
        Map<UsageKey, Map<String, Long>> sums = new HashMap<>();
        merger.finish(
                (process, gap) -> process.entries().forEach((key, counters) -> {
                    Map<String, Long> values = sums.computeIfAbsent(key, ignored -> new HashMap<>());
                    for (int i = 0; i < counters.size(); i++) {
                        values.merge(counters.name(i), counters.value(i), Long::sum);
                    }
                }),
                merger);
        return sums;
    }
}
