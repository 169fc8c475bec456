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
 * Merges record files and sums their usage over a period. Memory is bounded by {@code maxEntriesInMemory} plus the size of
 * the sums; docs/design-record.md says how it grows with them.
 */
public final class RecordReader {

    /** An entry takes about 500 bytes of heap, so that this bound amounts to 200 MB. */
    public static final long DEFAULT_MAX_ENTRIES_IN_MEMORY = 400_000;

    private final ReportPeriod period;
    private final long maxEntriesInMemory;
    private final RecordMerger merger = new RecordMerger();
    private final RecordFileReader files = new RecordFileReader(false);
    private final UsageSums sums;
    private final List<ProcessGap> gaps = new ArrayList<>();
    private final ServerSilences silences = new ServerSilences();
    private int fileCount;
    private long processCount;

    RecordReader(ReportPeriod period, long maxEntriesInMemory) {
        this.period = period;
        this.maxEntriesInMemory = maxEntriesInMemory;
        this.sums = new UsageSums(period);
    }

    /**
     * Reads the files with the default memory bound and without a table directory.
     *
     * @param afterLine run after each undamaged line
     */
    public static UsageReport readAll(ReportPeriod period, List<Path> paths, Runnable afterLine) throws IOException {
        return new RecordReader(period, DEFAULT_MAX_ENTRIES_IN_MEMORY).read(paths, TableDirectory.NONE, afterLine);
    }

    /** Reads the files in any order and returns the report. */
    UsageReport read(List<Path> paths, TableDirectory table, Runnable afterLine) throws IOException {
        try (MergeSpill spill = new MergeSpill()) {
            for (Path path : paths) {
                fileCount++;
                files.read(path, line -> {
                    merge(line, spill);
                    afterLine.run();
                });
            }
            if (spill.hasSpilled()) {
                spill.spill(merger);
                spill.finish(merger, this::addProcess);
            } else {
                merger.finish(this::addProcess, merger);
            }
        }
        for (ProcessGap gap : merger.processesWithoutLines()) {
            addGap(gap);
        }
        return new ReportBuilder(period, table, merger, sums, gaps, silences)
                .build(
                        new UsageReport.Input(
                                fileCount,
                                files.lineCount(),
                                processCount,
                                merger.servers().size()),
                        files);
    }

    private void merge(RecordLine line, MergeSpill spill) {
        merger.merge(line);
        if (merger.entriesInMemory() > maxEntriesInMemory) {
            spill.spill(merger);
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
        if (period.mayOverlapProcess(gap.incarnation(), gap.lastWrittenMillis(), gap.hasFinalLine())) {
            gaps.add(gap);
        }
    }
}
