package io.jaywick.cli.report;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import io.jaywick.core.record.MergedProcess;
import io.jaywick.core.record.ProcessGap;
import io.jaywick.core.record.RecordLine;
import io.jaywick.core.record.RecordMerger;

/**
 * Folds files into the sums of a period. Memory is bounded by {@code maxHeldEntries} and by the sums themselves; see
 * docs/design-record.md for the slope.
 */
public final class RecordReader {

    /** About 500 bytes of heap each, 200 MB in all. */
    public static final long DEFAULT_HELD_ENTRIES = 400_000;

    private final ReportPeriod period;
    private final long maxHeldEntries;
    private final RecordMerger fold = new RecordMerger();
    private final RecordFiles files = new RecordFiles(false);
    private final UsageSums sums;
    private final List<ProcessGap> gaps = new ArrayList<>();
    private final ServerSilences silences = new ServerSilences();
    private int fileCount;
    private long processCount;

    RecordReader(ReportPeriod period, long maxHeldEntries) {
        this.period = period;
        this.maxHeldEntries = maxHeldEntries;
        this.sums = new UsageSums(period);
    }

    /** Reads the files with the default bound of memory and without a table. */
    public static UsageReport readAll(ReportPeriod period, List<Path> paths, Runnable afterLine) throws IOException {
        return new RecordReader(period, DEFAULT_HELD_ENTRIES).read(paths, TableDirectory.NONE, afterLine);
    }

    /** Reads the files in any order and returns the report. */
    UsageReport read(List<Path> paths, TableDirectory table, Runnable afterLine) throws IOException {
        try (FoldSpill spill = new FoldSpill()) {
            for (Path path : paths) {
                fileCount++;
                files.read(path, line -> {
                    merge(line, spill);
                    afterLine.run();
                });
            }
            if (spill.isUsed()) {
                spill.spill(fold);
                spill.finish(fold, this::addProcess);
            } else {
                fold.finish(this::addProcess, fold);
            }
        }
        for (ProcessGap gap : fold.processesWithoutLines()) {
            addGap(gap);
        }
        return new ReportBuilder(period, table, fold, sums, gaps, silences)
                .build(
                        new UsageReport.Input(
                                fileCount,
                                files.lineCount(),
                                processCount,
                                fold.servers().size()),
                        files);
    }

    private void merge(RecordLine line, FoldSpill spill) {
        fold.merge(line);
        if (fold.entriesInMemory() > maxHeldEntries) {
            spill.spill(fold);
        }
    }

    private void addProcess(MergedProcess process, ProcessGap gap) {
        processCount++;
        silences.add(process);
        process.entries().forEach(sums::add);
        if (gap != null) {
            addGap(gap);
        }
    }

    private void addGap(ProcessGap gap) {
        if (period.mayConcern(gap.incarnation(), gap.lastWrittenMillis(), gap.hasFinalLine())) {
            gaps.add(gap);
        }
    }
}
