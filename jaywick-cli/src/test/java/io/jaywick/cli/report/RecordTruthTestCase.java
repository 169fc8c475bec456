package io.jaywick.cli.report;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import io.jaywick.cli.bench.record.FaultRates;
import io.jaywick.cli.bench.record.FleetOutput;
import io.jaywick.cli.bench.record.FleetShape;
import io.jaywick.cli.bench.record.FleetSimulation;
import io.jaywick.cli.bench.record.LineTransport;
import io.jaywick.cli.bench.record.UsageTruth;
import io.jaywick.core.record.ProcessGap;
import io.jaywick.core.record.RecordMerger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/** Runs simulated fleets under faults and compares the report with the usage that was simulated (invariant I14). */
class RecordTruthTestCase {

    private static final int INTERVALS = 60;
    private static final long START_MILLIS =
            Instant.parse("2026-11-30T23:55:00Z").toEpochMilli();

    @TempDir
    Path directory;

    static List<Long> seeds() {
        List<Long> seeds = new ArrayList<>();
        for (long seed = 1; seed <= 50; seed++) {
            seeds.add(seed);
        }
        return seeds;
    }

    /** Guards against over-counting and against losses outside the printed bound, for each party and in total. */
    @ParameterizedTest(name = "seed {0}")
    @MethodSource("seeds")
    void countsNothingTwiceAndBoundsMissingUsage(long seed) throws IOException {
        UsageTruth truth = new UsageTruth();
        List<String> lines = simulate(FaultRates.HARSH, seed, truth);
        UsageReport report = report(lines, seed % 2 == 0 ? 50 : Long.MAX_VALUE);
        compare("seed " + seed, truth, report);
    }

    /** Guards against a process that loses more than its own bound, hidden by the slack of the others. */
    @ParameterizedTest(name = "seed {0}")
    @MethodSource("seeds")
    void usageOfEachProcessIsWithinItsBound(long seed) throws IOException {
        UsageTruth truth = new UsageTruth();
        RecordMerger merger = new RecordMerger();
        new RecordFileReader(false).read(write(simulate(FaultRates.HARSH, seed, truth)), merger::merge);
        Map<String, long[]> counted = new TreeMap<>();
        merger.finish(
                (process, gap) -> {
                    String id = process.identity().server() + " "
                            + process.identity().incarnation();
                    long[] sums = counted.computeIfAbsent(id, ignored -> new long[2]);
                    process.entries().values().forEach(counters -> sums[0] += counters.endedCalls());
                    process.entries().values().forEach(counters -> sums[1] += counters.get("dispatches"));
                    sums[0] += gap == null ? 0 : gap.bounded() ? gap.callBound() : Integer.MAX_VALUE;
                    sums[1] += gap == null ? 0 : gap.bounded() ? gap.dispatchBound() : Integer.MAX_VALUE;
                },
                merger);
        for (ProcessGap gap : merger.processesWithoutLines()) {
            counted.put(gap.server() + " " + gap.incarnation(), new long[] {gap.callBound(), gap.dispatchBound()});
        }
        truth.processes().forEach((id, process) -> {
            long[] upperBounds = counted.getOrDefault(id, new long[2]);
            assertThat("seed " + seed + ": calls of " + id, process.startedCalls(), lessThanOrEqualTo(upperBounds[0]));
            assertThat(
                    "seed " + seed + ": dispatches of " + id,
                    process.startedDispatches(),
                    lessThanOrEqualTo(upperBounds[1]));
        });
    }

    /** Guards against a gap that is printed although nothing is missing. */
    @Test
    void fleetWithoutFaultsHasNoGap() throws IOException {
        UsageTruth truth = new UsageTruth();
        UsageReport report = report(simulate(FaultRates.NONE, 1, truth), Long.MAX_VALUE);
        assertThat(report.gaps().size(), equalTo(0));
        assertThat(report.hiddenCalls(), equalTo(0L));
        compare("no faults", truth, report);
        for (UsageReport.PartyRow row : report.parties()) {
            assertThat(row.asked(), equalTo(truth.parties().get(row.party()).endedCalls()));
        }
    }

    /** Guards against a report that depends on order, repetition, file borders or the memory bound. */
    @Test
    void reportIsIndependentOfOrderRepetitionAndMemoryBound() throws IOException {
        List<String> lines = simulate(FaultRates.KILLS, 2, new UsageTruth());
        UsageReport inOrder = report(lines, Long.MAX_VALUE);
        List<String> mixed = new ArrayList<>(lines);
        mixed.addAll(lines.subList(0, lines.size() / 3));
        java.util.Collections.shuffle(mixed, new java.util.Random(2));
        UsageReport other = report(mixed, 20);
        assertThat(other.parties(), equalTo(inOrder.parties()));
        assertThat(other.usage(), equalTo(inOrder.usage()));
        assertThat(other.gaps(), equalTo(inOrder.gaps()));
        assertThat(other.silences(), equalTo(inOrder.silences()));
    }

    /** Guards against calls that are counted in two months or in none. */
    @Test
    void monthsAddUpToTotal() throws IOException {
        Path file = write(simulate(FaultRates.KILLS, 3, new UsageTruth()));
        long sum = 0;
        for (String month : List.of("2026-11", "2026-12")) {
            UsageReport report = read(ReportPeriod.parse(month), file, Long.MAX_VALUE);
            assertThat(report.total().get("answered"), greaterThan(0L));
            sum += report.total().get("answered");
        }
        assertThat(read(ReportPeriod.ALL, file, 100).total().get("answered"), equalTo(sum));
    }

    private void compare(String run, UsageTruth truth, UsageReport report) {
        long missingCalls = 0;
        long missingDispatches = 0;
        TreeSet<String> names = new TreeSet<>(truth.parties().keySet());
        report.parties().forEach(row -> names.add(row.party()));
        for (String name : names) {
            UsageReport.PartyRow row = report.parties().stream()
                    .filter(each -> each.party().equals(name))
                    .findFirst()
                    .orElseThrow();
            UsageTruth.PartyTruth party = truth.parties().getOrDefault(name, new UsageTruth.PartyTruth());
            long dispatches = row.counters().getOrDefault("dispatches", 0L);
            assertThat(run + ": calls of " + name, row.asked(), lessThanOrEqualTo(party.endedCalls()));
            assertThat(run + ": dispatches of " + name, dispatches, lessThanOrEqualTo(party.endedDispatches()));
            assertThat(run + ": slot time of " + name, row.slotMicros(), lessThanOrEqualTo(party.slotMicros()));
            assertThat(run + ": bytes of " + name, bytes(row.counters()), lessThanOrEqualTo(party.bytes()));
            missingCalls += party.startedCalls() - row.asked();
            missingDispatches += party.startedDispatches() - dispatches;
            if (report.bounded()) {
                assertThat(
                        run + ": missing calls of " + name,
                        party.startedCalls() - row.asked(),
                        lessThanOrEqualTo(report.hiddenCalls()));
            }
        }
        if (report.bounded()) {
            assertThat(run + ": missing calls", missingCalls, lessThanOrEqualTo(report.hiddenCalls()));
            assertThat(run + ": missing dispatches", missingDispatches, lessThanOrEqualTo(report.hiddenDispatches()));
        }
        System.out.printf(
                "%s: missing %d of at most %d calls, %d of at most %d dispatches, bounded %s, damaged lines %d%n",
                run,
                missingCalls,
                report.hiddenCalls(),
                missingDispatches,
                report.hiddenDispatches(),
                report.bounded(),
                report.damagedCount());
    }

    private static long bytes(Map<String, Long> counters) {
        return counters.entrySet().stream()
                .filter(counter -> counter.getKey().contains("Bytes"))
                .mapToLong(Map.Entry::getValue)
                .sum();
    }

    private static List<String> simulate(FaultRates faults, long seed, UsageTruth truth) {
        List<String> lines = new ArrayList<>();
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(-seed);
        LineTransport transport = new LineTransport(faults, random, lines::add);
        FleetSimulation fleet = new FleetSimulation(
                FleetShape.SMALL, faults, seed, START_MILLIS, new FleetOutput(truth, transport::accept, ignored -> {}));
        for (int i = 0; i < INTERVALS; i++) {
            fleet.runInterval();
        }
        fleet.endGracefully();
        transport.flush();
        return lines;
    }

    private UsageReport report(List<String> lines, long maxEntriesInMemory) throws IOException {
        return read(ReportPeriod.ALL, write(lines), maxEntriesInMemory);
    }

    private static UsageReport read(ReportPeriod period, Path file, long maxEntriesInMemory) throws IOException {
        return new RecordReader(period, maxEntriesInMemory).read(List.of(file), TableDirectory.NONE, () -> {});
    }

    private Path write(List<String> lines) {
        try {
            Path file = Files.createTempFile(directory, "record", ".jsonl");
            try (BufferedWriter writer = Files.newBufferedWriter(file)) {
                for (String line : lines) {
                    writer.write(line);
                    writer.write('\n');
                }
            }
            return file;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
