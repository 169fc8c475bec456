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
 * Keeps the memory of a fold bounded: writes merged processes to temporary files, spread by server, and merges each
 * file on its own at the end.
 */
final class FoldSpill implements AutoCloseable {

    /** Each part then holds one 64th of the servers' merged counters. */
    private static final int PARTS = 64;

    private final Path directory;
    private final BufferedWriter[] writers = new BufferedWriter[PARTS];
    private boolean used;

    FoldSpill() throws IOException {
        directory = Files.createTempDirectory("jaywick-report");
    }

    boolean isUsed() {
        return used;
    }

    /** Moves everything that the fold holds for single processes into the files. */
    void spill(RecordMerger fold) {
        used = true;
        fold.drain(this::write);
    }

    /** Merges part after part and hands over the processes. */
    void finish(RecordMerger heads, RecordMerger.ProcessConsumer consumer) throws IOException {
        for (int i = 0; i < PARTS; i++) {
            if (writers[i] != null) {
                writers[i].close();
                RecordMerger part = new RecordMerger();
                new RecordFiles(true).read(file(i), part::merge);
                part.finish(consumer, heads);
                Files.delete(file(i));
                writers[i] = null;
            }
        }
    }

    private void write(RecordLine line) {
        int part = Math.floorMod(line.identity().server().hashCode(), PARTS);
        try {
            if (writers[part] == null) {
                writers[part] = Files.newBufferedWriter(file(part));
            }
            writers[part].write(RecordLineWriter.write(line));
            writers[part].write('\n');
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private Path file(int part) {
        return directory.resolve("part-" + part);
    }

    @Override
    public void close() throws IOException {
        for (int i = 0; i < PARTS; i++) {
            if (writers[i] != null) {
                writers[i].close();
                Files.deleteIfExists(file(i));
            }
        }
        Files.delete(directory);
    }
}
