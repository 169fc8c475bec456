package io.jaywick.cli.bench.record;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import io.jaywick.cli.report.RecordReader;
import io.jaywick.cli.report.ReportPeriod;
import io.jaywick.cli.report.UsageReport;

/**
 * A report with its speed and memory. Speed is that of the second of two folds, memory the largest live heap above
 * that before the fold at ten points of a third one, so that the collections do not slow the timed fold.
 */
record MeasuredFold(UsageReport report, long linesPerSecond, long bytesPerSecond, long peakMemoryBytes) {

    private static final int HEAP_SAMPLES = 10;
    private static final int GC_RUNS = 3;
    private static final double NANOS_PER_SECOND = 1e9;

    static MeasuredFold of(Path file) throws IOException {
        long lines = fold(file, () -> {}).input().lines();
        long startNanos = System.nanoTime();
        UsageReport report = fold(file, () -> {});
        double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
        long[] lineCountAndPeakBytes = new long[2];
        long baselineBytes = liveHeapBytes();
        fold(file, () -> {
            lineCountAndPeakBytes[0]++;
            if (lineCountAndPeakBytes[0] % Math.max(1, lines / HEAP_SAMPLES) == 0) {
                lineCountAndPeakBytes[1] = Math.max(lineCountAndPeakBytes[1], liveHeapBytes() - baselineBytes);
            }
        });
        return new MeasuredFold(
                report, Math.round(lines / seconds), Math.round(Files.size(file) / seconds), lineCountAndPeakBytes[1]);
    }

    private static UsageReport fold(Path file, Runnable afterLine) throws IOException {
        return RecordReader.readAll(ReportPeriod.ALL, List.of(file), afterLine);
    }

    private static long liveHeapBytes() {
        // Objects behind weak and soft references need more than one collection.
        for (int i = 0; i < GC_RUNS; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
