package io.jaywick.cli.bench.record;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import io.jaywick.cli.report.RecordReader;
import io.jaywick.cli.report.ReportPeriod;
import io.jaywick.cli.report.UsageReport;
import io.jaywick.core.record.RecorderLimits;

/** One run of the benchmark: the same calls under the same faults, recorded by three strategies. */
final class RecordBench {

    private static final FleetShape FLEET = new FleetShape(2, 5, 100, 12, 5, 60, 10_000);
    private static final FaultRates FAULTS = new FaultRates(0.005, 0.005, 0.005, 0, 0.01, 0.01, 0.002, 200);
    private static final int PACE_INTERVALS = 100;
    private static final int COPIES = 3;
    private static final long START_MILLIS =
            Instant.parse("2026-11-01T00:00:00Z").toEpochMilli();

    private final long lines;
    private final long seed;
    private final UsageTruth truth = new UsageTruth();
    private final Set<String> naiveLines = new HashSet<>();
    private long naiveLineCount;
    private long naiveCalls;
    private long naiveRepeatedCalls;
    private long lineCount;
    private long bytes;

    RecordBench(long lines, long seed) {
        this.lines = lines;
        this.seed = seed;
    }

    Map<String, Object> run() throws IOException {
        Path file = Files.createTempFile("jaywick-bench-record", ".jsonl");
        Path copies = Files.createTempFile("jaywick-bench-copies", ".jsonl");
        try {
            generate(file, copies);
            MeasuredFold fold = MeasuredFold.of(file);
            UsageReport copied = report(copies);
            Map<String, Object> result = new LinkedHashMap<>();
            Map<String, Object> own =
                    accuracy(calls(fold.report()), fold.report().hiddenCalls());
            result.put("lines", lineCount);
            result.put("seed", seed);
            result.put("linesPerSecond", fold.linesPerSecond());
            result.put("peakMemoryBytes", fold.peakMemoryBytes());
            result.putAll(own);
            result.put("bounded", fold.report().bounded());
            Map<String, Object> strategies = new LinkedHashMap<>();
            own.put("bytesPerLine", bytes / Math.max(1, lineCount));
            strategies.put("jaywick", own);
            strategies.put("naive", naiveAccuracy());
            Map<String, Object> peerCopies = accuracy(calls(copied), -1);
            peerCopies.put("bytesTimes", COPIES);
            strategies.put("peerCopies", peerCopies);
            result.put("strategies", strategies);
            result.put("paces", paces());
            NodeCost cost = NodeCost.measure(seed);
            result.put("recorder", cost.figures());
            result.put("monthAtDesignSize", cost.month(fold.bytesPerSecond(), fold.linesPerSecond()));
            return result;
        } finally {
            Files.delete(file);
            Files.delete(copies);
        }
    }

    private void generate(Path file, Path copyFile) throws IOException {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(-seed);
        try (BufferedWriter own = Files.newBufferedWriter(file);
                BufferedWriter copied = Files.newBufferedWriter(copyFile)) {
            LineTransport transport = new LineTransport(FAULTS, random, line -> {
                lineCount++;
                bytes += line.length() + 1;
                write(own, line);
            });
            LineTransport[] copies = new LineTransport[COPIES];
            for (int i = 0; i < COPIES; i++) {
                copies[i] = new LineTransport(FAULTS, random, line -> write(copied, line));
            }
            LineTransport naive = new LineTransport(FAULTS, random, this::addNaive);
            FleetOutput output = new FleetOutput(
                    truth,
                    line -> {
                        transport.accept(line);
                        for (LineTransport copy : copies) {
                            copy.accept(line);
                        }
                    },
                    line -> naive.accept(line + " #" + naiveLineCount++));
            FleetSimulation fleet = new FleetSimulation(FLEET, FAULTS, seed, START_MILLIS, output);
            while (lineCount < lines) {
                fleet.runInterval();
            }
            fleet.end();
            transport.flush();
            naive.flush();
            for (LineTransport copy : copies) {
                copy.flush();
            }
        }
    }

    /** Bytes against calls missing after kills, when counters are written on every line, as chosen, or seldom. */
    private Map<String, Object> paces() throws IOException {
        Map<String, Object> paces = new LinkedHashMap<>();
        paces.put("everyLine", pace(FleetOutput.defaultLimits().withCounterInterval(0, 0)));
        paces.put("chosen", pace(FleetOutput.defaultLimits()));
        paces.put("seldom", pace(FleetOutput.defaultLimits().withCounterInterval(64, 29)));
        return paces;
    }

    private Map<String, Object> pace(RecorderLimits limits) throws IOException {
        Path file = Files.createTempFile("jaywick-bench-pace", ".jsonl");
        UsageTruth paceTruth = new UsageTruth();
        try {
            try (BufferedWriter writer = Files.newBufferedWriter(file)) {
                FleetOutput output = new FleetOutput(limits, paceTruth, line -> write(writer, line), ignored -> {});
                FleetSimulation fleet = new FleetSimulation(FLEET, FaultRates.KILLS, seed, START_MILLIS, output);
                for (int i = 0; i < PACE_INTERVALS; i++) {
                    fleet.runInterval();
                }
                fleet.end();
            }
            UsageReport report = report(file);
            long started = paceTruth.parties().values().stream()
                    .mapToLong(UsageTruth.PartyTruth::startedCalls)
                    .sum();
            long counted =
                    calls(report).values().stream().mapToLong(Long::longValue).sum();
            Map<String, Object> figures = new LinkedHashMap<>();
            figures.put("calls", started);
            figures.put("bytesPerCall", Files.size(file) / started);
            figures.put("missing", started - counted);
            figures.put("missingBound", report.hiddenCalls());
            return figures;
        } finally {
            Files.delete(file);
        }
    }

    private static void write(BufferedWriter writer, String line) {
        try {
            writer.write(line);
            writer.write('\n');
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The plain reader sums every line that it can read; the number after the hash is known to the benchmark only. */
    private void addNaive(String line) {
        long calls = 0;
        for (String word : line.split(" ")) {
            int equals = word.indexOf('=');
            if (equals > 0) {
                try {
                    calls += Long.parseLong(word.substring(equals + 1));
                } catch (NumberFormatException e) {
                    continue;
                }
            }
        }
        if (naiveLines.add(line.substring(line.indexOf('#') + 1))) {
            naiveCalls += calls;
        } else {
            naiveRepeatedCalls += calls;
        }
    }

    /** Repeated lines and lost lines would cancel out in the sum, so they are told apart by the line numbers. */
    private Map<String, Object> naiveAccuracy() {
        long started = truth.parties().values().stream()
                .mapToLong(UsageTruth.PartyTruth::startedCalls)
                .sum();
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("overCount", naiveRepeatedCalls);
        figures.put("missing", Math.max(0, started - naiveCalls));
        figures.put("missingBound", "none");
        return figures;
    }

    private static UsageReport report(Path file) throws IOException {
        return RecordReader.readAll(ReportPeriod.ALL, List.of(file), () -> {});
    }

    private static Map<String, Long> calls(UsageReport report) {
        Map<String, Long> calls = new HashMap<>();
        report.parties().forEach(party -> calls.put(party.party(), party.asked()));
        return calls;
    }

    private Map<String, Object> accuracy(Map<String, Long> counted, long bound) {
        long over = 0;
        long missing = 0;
        for (Map.Entry<String, UsageTruth.PartyTruth> party : truth.parties().entrySet()) {
            long count = counted.getOrDefault(party.getKey(), 0L);
            over += Math.max(0, count - party.getValue().endedCalls());
            missing += Math.max(0, party.getValue().startedCalls() - count);
        }
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("overCount", over);
        figures.put("missing", missing);
        figures.put("missingBound", bound < 0 ? "none" : (Object) bound);
        return figures;
    }
}
