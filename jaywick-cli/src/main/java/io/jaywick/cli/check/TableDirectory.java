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

/**
 * Reads and writes the sheets of a table as files {@code NAME.csv} of one directory. Files with another suffix are
 * ignored.
 */
public final class TableDirectory {

    private static final String SUFFIX = ".csv";

    private TableDirectory() {}

    /**
     * Reads every sheet and returns its bytes by sheet name. At most one byte more than the limit of 1 MB is read from
     * a file, so that the verdict rejects a larger file without loading all of it into memory.
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

    /**
     * Writes each sheet as a file and creates the directory when it is missing.
     *
     * @throws UsageException when the directory or a file cannot be written
     */
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
