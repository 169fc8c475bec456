package io.jaywick.cli.bench.record;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import io.jaywick.cli.report.RecordReader;
import io.jaywick.cli.report.ReportPeriod;
import io.jaywick.cli.report.UsageReport;

/**
 * A report with the speed and memory use of the fold, which merges the lines of a record file into the report.
 *
 * <p>The file is folded three times. The first run warms up the JVM and counts the lines, and the second is timed. The
 * third measures the live heap at about {@value #HEAP_SAMPLES} points; it is a run of its own because garbage
 * collections would slow the timed one.
 *
 * @param peakMemoryBytes largest growth of the live heap since the start of the third run
 */
record MeasuredFold(UsageReport report, long linesPerSecond, long bytesPerSecond, long peakMemoryBytes) {

    private static final int HEAP_SAMPLES = 10;
    private static final int GC_RUNS = 3;
    private static final double NANOS_PER_SECOND = 1e9;

    static MeasuredFold of(Path file) throws IOException {
        long lines = readReport(file, () -> {}).input().lines();
        long startNanos = System.nanoTime();
        UsageReport report = readReport(file, () -> {});
        double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
        long[] lineCountAndPeakBytes = new long[2];
        long baselineBytes = liveHeapBytes();
        readReport(file, () -> {
            lineCountAndPeakBytes[0]++;
            if (lineCountAndPeakBytes[0] % Math.max(1, lines / HEAP_SAMPLES) == 0) {
                lineCountAndPeakBytes[1] = Math.max(lineCountAndPeakBytes[1], liveHeapBytes() - baselineBytes);
            }
        });
        return new MeasuredFold(
                report, Math.round(lines / seconds), Math.round(Files.size(file) / seconds), lineCountAndPeakBytes[1]);
    }

    private static UsageReport readReport(Path file, Runnable afterLine) throws IOException {
        return RecordReader.readAll(ReportPeriod.ALL, List.of(file), afterLine);
    }

    private static long liveHeapBytes() {
        // A single collection may leave objects that are reachable only through weak or soft references.
        for (int i = 0; i < GC_RUNS; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
