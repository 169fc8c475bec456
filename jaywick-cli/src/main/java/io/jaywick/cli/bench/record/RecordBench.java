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

/**
 * One run of the benchmark: records the same calls under the same fault rates with three strategies, which are the
 * usage record, plain counters ({@link NaiveRecorder}), and the usage record with {@value #PEER_COPIES} copies of each
 * line, each of which is transported on its own.
 */
final class RecordBench {

    private static final FleetShape FLEET = new FleetShape(2, 5, 100, 12, 5, 60, 10_000);
    private static final FaultRates FAULTS = new FaultRates(0.005, 0.005, 0.005, 0, 0.01, 0.01, 0.002, 200);
    private static final int SIMULATED_INTERVALS = 100;
    private static final int PEER_COPIES = 3;
    private static final long START_MILLIS =
            Instant.parse("2026-11-01T00:00:00Z").toEpochMilli();

    private final long lines;
    private final long seed;
    private final UsageTruth truth = new UsageTruth();
    private final Set<String> naiveLineNumbers = new HashSet<>();
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
        Path copyFile = Files.createTempFile("jaywick-bench-copies", ".jsonl");
        try {
            generateLines(file, copyFile);
            MeasuredFold fold = MeasuredFold.of(file);
            UsageReport copyReport = readReport(copyFile);
            Map<String, Object> result = new LinkedHashMap<>();
            Map<String, Object> recordFigures =
                    accuracyFigures(callsByParty(fold.report()), fold.report().hiddenCalls());
            result.put("lines", lineCount);
            result.put("seed", seed);
            result.put("linesPerSecond", fold.linesPerSecond());
            result.put("peakMemoryBytes", fold.peakMemoryBytes());
            result.putAll(recordFigures);
            result.put("bounded", fold.report().bounded());
            Map<String, Object> strategies = new LinkedHashMap<>();
            recordFigures.put("bytesPerLine", bytes / Math.max(1, lineCount));
            strategies.put("jaywick", recordFigures);
            strategies.put("naive", naiveAccuracyFigures());
            Map<String, Object> peerCopyFigures = accuracyFigures(callsByParty(copyReport), -1);
            peerCopyFigures.put("bytesTimes", PEER_COPIES);
            strategies.put("peerCopies", peerCopyFigures);
            result.put("strategies", strategies);
            result.put("paces", counterIntervalFigures());
            NodeCost cost = NodeCost.measure(seed);
            result.put("recorder", cost.figures());
            result.put("monthAtDesignSize", cost.monthFigures(fold.bytesPerSecond(), fold.linesPerSecond()));
            return result;
        } finally {
            Files.delete(file);
            Files.delete(copyFile);
        }
    }

    private void generateLines(Path file, Path copyFile) throws IOException {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(-seed);
        try (BufferedWriter recordWriter = Files.newBufferedWriter(file);
                BufferedWriter copyWriter = Files.newBufferedWriter(copyFile)) {
            LineTransport recordTransport = new LineTransport(FAULTS, random, line -> {
                lineCount++;
                bytes += line.length() + 1;
                writeLine(recordWriter, line);
            });
            LineTransport[] copyTransports = new LineTransport[PEER_COPIES];
            for (int i = 0; i < PEER_COPIES; i++) {
                copyTransports[i] = new LineTransport(FAULTS, random, line -> writeLine(copyWriter, line));
            }
            LineTransport naiveTransport = new LineTransport(FAULTS, random, this::addNaiveLine);
            FleetOutput output = new FleetOutput(
                    truth,
                    line -> {
                        recordTransport.accept(line);
                        for (LineTransport copy : copyTransports) {
                            copy.accept(line);
                        }
                    },
                    line -> naiveTransport.accept(line + " #" + naiveLineCount++));
            FleetSimulation fleet = new FleetSimulation(FLEET, FAULTS, seed, START_MILLIS, output);
            while (lineCount < lines) {
                fleet.runInterval();
            }
            fleet.endGracefully();
            recordTransport.flush();
            naiveTransport.flush();
            for (LineTransport copy : copyTransports) {
                copy.flush();
            }
        }
    }

    /**
     * Compares the bytes for each call with the calls missing after kills for three write intervals of counters: on
     * every line, with the default limits, and on few lines.
     */
    private Map<String, Object> counterIntervalFigures() throws IOException {
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put(
                "everyLine", measureCounterInterval(FleetOutput.defaultLimits().withCounterInterval(0, 0)));
        figures.put("chosen", measureCounterInterval(FleetOutput.defaultLimits()));
        figures.put("seldom", measureCounterInterval(FleetOutput.defaultLimits().withCounterInterval(64, 29)));
        return figures;
    }

    private Map<String, Object> measureCounterInterval(RecorderLimits limits) throws IOException {
        Path file = Files.createTempFile("jaywick-bench-pace", ".jsonl");
        UsageTruth simulatedTruth = new UsageTruth();
        try {
            try (BufferedWriter writer = Files.newBufferedWriter(file)) {
                FleetOutput output =
                        new FleetOutput(limits, simulatedTruth, line -> writeLine(writer, line), ignored -> {});
                FleetSimulation fleet = new FleetSimulation(FLEET, FaultRates.KILLS, seed, START_MILLIS, output);
                for (int i = 0; i < SIMULATED_INTERVALS; i++) {
                    fleet.runInterval();
                }
                fleet.endGracefully();
            }
            UsageReport report = readReport(file);
            long started = simulatedTruth.parties().values().stream()
                    .mapToLong(UsageTruth.PartyTruth::startedCalls)
                    .sum();
            long counted = callsByParty(report).values().stream()
                    .mapToLong(Long::longValue)
                    .sum();
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

    private static void writeLine(BufferedWriter writer, String line) {
        try {
            writer.write(line);
            writer.write('\n');
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Adds up the calls of a line of plain counters as their reader would, which takes every number that it can parse.
     * The line number after {@code #} serves only this benchmark, to recognise repeated lines.
     */
    private void addNaiveLine(String line) {
        long calls = 0;
        for (String token : line.split(" ")) {
            int separator = token.indexOf('=');
            if (separator > 0) {
                try {
                    calls += Long.parseLong(token.substring(separator + 1));
                } catch (NumberFormatException e) {
                    continue;
                }
            }
        }
        if (naiveLineNumbers.add(line.substring(line.indexOf('#') + 1))) {
            naiveCalls += calls;
        } else {
            naiveRepeatedCalls += calls;
        }
    }

    /**
     * Returns the accuracy of the plain counters. Repeated and lost lines would cancel out in one sum, so repeated
     * lines, recognised by their line number, are counted separately.
     */
    private Map<String, Object> naiveAccuracyFigures() {
        long started = truth.parties().values().stream()
                .mapToLong(UsageTruth.PartyTruth::startedCalls)
                .sum();
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("overCount", naiveRepeatedCalls);
        figures.put("missing", Math.max(0, started - naiveCalls));
        figures.put("missingBound", "none");
        return figures;
    }

    private static UsageReport readReport(Path file) throws IOException {
        return RecordReader.readAll(ReportPeriod.ALL, List.of(file), () -> {});
    }

    private static Map<String, Long> callsByParty(UsageReport report) {
        Map<String, Long> calls = new HashMap<>();
        report.parties().forEach(party -> calls.put(party.party(), party.asked()));
        return calls;
    }

    /** @param missingBound upper bound of missing calls that the strategy states, negative when it states none */
    private Map<String, Object> accuracyFigures(Map<String, Long> counted, long missingBound) {
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
        figures.put("missingBound", missingBound < 0 ? "none" : (Object) missingBound);
        return figures;
    }
}
