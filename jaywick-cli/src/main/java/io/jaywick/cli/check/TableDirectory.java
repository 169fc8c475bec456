package io.jaywick.cli.check;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

import io.jaywick.cli.UsageException;
import io.jaywick.core.table.TableLimits;

/** The sheets of a table as files {@code NAME.csv} of one directory. Files with another suffix are ignored. */
public final class TableDirectory {

    private static final String SUFFIX = ".csv";

    private TableDirectory() {}

    /**
     * Reads every sheet by name. Of a file over 1 MB one byte more than the limit is read, so that the verdict rejects it
     * without the whole file in memory.
     *
     * @throws UsageException when the directory or a file cannot be read
     */
    public static Map<String, byte[]> read(Path directory) {
        Map<String, byte[]> sheets = new TreeMap<>();
        for (Path file : files(directory)) {
            String name = file.getFileName().toString();
            try (InputStream input = Files.newInputStream(file)) {
                sheets.put(
                        name.substring(0, name.length() - SUFFIX.length()),
                        input.readNBytes(TableLimits.MAX_VALUE_BYTES + 1));
            } catch (IOException e) {
                throw new UsageException("cannot read " + file + ": " + reason(e), e);
            }
        }
        return sheets;
    }

    /** Writes each sheet as a file; the directory is created when it is missing. */
    public static void write(Path directory, Map<String, byte[]> sheets) {
        try {
            Files.createDirectories(directory);
            for (Map.Entry<String, byte[]> sheet : sheets.entrySet()) {
                Files.write(directory.resolve(sheet.getKey() + SUFFIX), sheet.getValue());
            }
        } catch (IOException e) {
            throw new UsageException("cannot write to " + directory + ": " + reason(e), e);
        }
    }

    private static List<Path> files(Path directory) {
        if (!Files.isDirectory(directory)) {
            throw new UsageException(directory + " is not a directory");
        }
        try (Stream<Path> files = Files.list(directory)) {
            return files.filter(file -> file.getFileName().toString().endsWith(SUFFIX))
                    .sorted()
                    .toList();
        } catch (IOException e) {
            throw new UsageException("cannot read " + directory + ": " + reason(e), e);
        }
    }

    private static String reason(IOException e) {
        return e.getClass().getSimpleName() + (e.getMessage() == null ? "" : " " + e.getMessage());
    }
}
