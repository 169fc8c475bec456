package io.jaywick.cli.report;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

import io.jaywick.core.record.RecordLine;
import io.jaywick.core.record.RecordLineWriter;
import io.jaywick.core.record.RecordMerger;

/**
 * Bounds the memory of a merge: writes merged processes to temporary files, partitioned by server, and merges the files
 * one after another at the end.
 */
final class MergeSpill implements AutoCloseable {

    /** Number of files; on average, each holds a 64th of the merged counters of all servers. */
    private static final int PARTITION_COUNT = 64;

    private final Path directory;
    private final BufferedWriter[] writers = new BufferedWriter[PARTITION_COUNT];
    private boolean spilled;

    MergeSpill() throws IOException {
        directory = Files.createTempDirectory("jaywick-report");
    }

    boolean hasSpilled() {
        return spilled;
    }

    /** Moves the merged lines of all processes from the memory of the merger to the files. */
    void spill(RecordMerger merger) {
        spilled = true;
        merger.drain(this::write);
    }

    /**
     * Merges one file after another and passes the processes to the consumer.
     *
     * @param peerStateSource merger whose peer states are used to find gaps
     */
    void finish(RecordMerger peerStateSource, RecordMerger.ProcessConsumer consumer) throws IOException {
        for (int i = 0; i < PARTITION_COUNT; i++) {
            if (writers[i] != null) {
                writers[i].close();
                RecordMerger partition = new RecordMerger();
                new RecordFileReader(true).read(file(i), partition::merge);
                partition.finish(consumer, peerStateSource);
                Files.delete(file(i));
                writers[i] = null;
            }
        }
    }

    private void write(RecordLine line) {
        int partition = Math.floorMod(line.identity().server().hashCode(), PARTITION_COUNT);
        try {
            if (writers[partition] == null) {
                writers[partition] = Files.newBufferedWriter(file(partition));
            }
            writers[partition].write(RecordLineWriter.write(line));
            writers[partition].write('\n');
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private Path file(int partition) {
        return directory.resolve("part-" + partition);
    }

    @Override
    public void close() throws IOException {
        for (int i = 0; i < PARTITION_COUNT; i++) {
            if (writers[i] != null) {
                writers[i].close();
                Files.deleteIfExists(file(i));
            }
        }
        Files.delete(directory);
    }
}
