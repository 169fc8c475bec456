package io.jaywick.cli.report;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import java.util.zip.GZIPInputStream;

import io.jaywick.core.record.RecordLine;
import io.jaywick.core.record.RecordLineException;
import io.jaywick.core.record.RecordLineKind;
import io.jaywick.core.record.RecordLineReader;

/**
 * Reads record lines from files, plain or compressed with gzip ({@code .gz}), one line at a time. Damaged lines are
 * counted; the first 10,000 are also listed.
 */
public final class RecordFileReader {

    /** Longest accepted line in bytes. A writer's line with 256 sets of counters has about 80 KB. */
    private static final int MAX_LINE_BYTES = 1 << 20;

    private static final int BUFFER_BYTES = 1 << 16;
    private static final int MAX_LISTED_DAMAGED_LINES = 10_000;

    private final RecordLineReader reader = new RecordLineReader();
    private final List<DamagedLine> damaged = new ArrayList<>();
    private final boolean acceptMergedLines;
    private byte[] line = new byte[BUFFER_BYTES];
    private long lineCount;
    private long damagedCount;

    /** @param acceptMergedLines true for temporary files of the merge; files of nodes must not contain merged lines */
    RecordFileReader(boolean acceptMergedLines) {
        this.acceptMergedLines = acceptMergedLines;
    }

    /** Passes every undamaged line of a file to the consumer. */
    void read(Path file, Consumer<RecordLine> consumer) throws IOException {
        try (InputStream raw = Files.newInputStream(file);
                InputStream in = file.toString().endsWith(".gz")
                        ? new GZIPInputStream(raw, BUFFER_BYTES)
                        : new BufferedInputStream(raw, BUFFER_BYTES)) {
            readLines(file.toString(), in, consumer);
        }
    }

    private void readLines(String file, InputStream in, Consumer<RecordLine> consumer) throws IOException {
        byte[] buffer = new byte[BUFFER_BYTES];
        int length = 0;
        long number = 1;
        int read = readBlock(file, number, in, buffer);
        while (read > 0) {
            int start = 0;
            for (int i = 0; i < read; i++) {
                if (buffer[i] == '\n') {
                    processLine(file, number++, append(buffer, start, i, length), consumer);
                    length = 0;
                    start = i + 1;
                }
            }
            length = append(buffer, start, read, length);
            read = readBlock(file, number, in, buffer);
        }
        processLine(file, number, length, consumer);
    }

    /** Appends a part of the buffer to the line and returns its length; bytes beyond the maximum line length are dropped. */
    private int append(byte[] buffer, int from, int to, int length) {
        int added = Math.min(to - from, MAX_LINE_BYTES - length);
        if (length + added > line.length) {
            line = Arrays.copyOf(line, Math.min(MAX_LINE_BYTES, 2 * (length + added)));
        }
        System.arraycopy(buffer, from, line, length, added);
        return length + added;
    }

    /** A compressed file that ends early or is damaged yields the lines before the damage. */
    private int readBlock(String file, long number, InputStream in, byte[] buffer) throws IOException {
        try {
            return in.read(buffer);
        } catch (java.io.EOFException | java.util.zip.ZipException e) {
            lineCount++;
            addDamaged(file, number, "the remainder of the compressed file cannot be read");
            return -1;
        }
    }

    private void processLine(String file, long number, int length, Consumer<RecordLine> consumer) {
        int end = length > 0 && line[length - 1] == '\r' ? length - 1 : length;
        if (end == 0) {
            return;
        }
        lineCount++;
        RecordLine read;
        try {
            if (end >= MAX_LINE_BYTES) {
                throw new RecordLineException("longer than " + MAX_LINE_BYTES + " bytes");
            }
            read = reader.read(line, end);
            if (read.kind() == RecordLineKind.FOLDED && !acceptMergedLines) {
                throw new RecordLineException("a line of a node cannot have the kind of merged lines");
            }
        } catch (RecordLineException e) {
            addDamaged(file, number, e.getMessage());
            return;
        }
        consumer.accept(read);
    }

    private void addDamaged(String file, long number, String reason) {
        damagedCount++;
        if (damaged.size() < MAX_LISTED_DAMAGED_LINES) {
            damaged.add(new DamagedLine(file, number, reason));
        }
    }

    /** Lines read so far, damaged ones included, empty ones not. */
    long lineCount() {
        return lineCount;
    }

    long damagedCount() {
        return damagedCount;
    }

    /** The first damaged lines; {@link #damagedCount} counts all of them. */
    List<DamagedLine> damaged() {
        return damaged;
    }
}
