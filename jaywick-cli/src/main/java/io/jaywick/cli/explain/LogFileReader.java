package io.jaywick.cli.explain;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jaywick.cli.UsageException;

/** Reads log files line by line. Skips text before the JSON object of a line, because log collectors add prefixes. */
final class LogFileReader {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final TypeReference<LinkedHashMap<String, Object>> FIELDS = new TypeReference<>() {};
    /** Fields that {@link LogLine#fields} leaves out. */
    private static final Set<String> SEPARATE_FIELDS =
            Set.of("time", "node", "message", "requestId", "logger", "level");

    private final List<Path> files;
    private long damagedLineCount;

    LogFileReader(List<Path> files) {
        this.files = files;
    }

    /** Number of lines so far that passed the filter and contained a JSON object that could not be parsed. */
    long damagedLineCount() {
        return damagedLineCount;
    }

    /** Passes the lines that match the filter to the consumer. Only these lines are parsed, to read large files fast. */
    void read(Predicate<String> filter, Consumer<LogLine> consumer) {
        for (Path file : files) {
            try (BufferedReader reader = Files.newBufferedReader(file, StandardCharsets.ISO_8859_1)) {
                for (String text = reader.readLine(); text != null; text = reader.readLine()) {
                    int start = text.indexOf('{');
                    if (start >= 0 && filter.test(text)) {
                        LogLine line = parse(text.substring(start));
                        if (line != null) {
                            consumer.accept(line);
                        }
                    }
                }
            } catch (IOException e) {
                throw new UsageException("cannot read " + file + ": " + e, e);
            }
        }
    }

    private LogLine parse(String text) {
        try {
            Map<String, Object> fields = JSON.readValue(text, FIELDS);
            LogLine line = new LogLine(
                    Instant.parse(String.valueOf(fields.get("time"))),
                    String.valueOf(fields.get("node")),
                    String.valueOf(fields.get("message")),
                    fields.get("requestId") == null ? null : String.valueOf(fields.get("requestId")),
                    fields);
            fields.keySet().removeAll(SEPARATE_FIELDS);
            return line;
        } catch (JsonProcessingException | DateTimeException e) {
            damagedLineCount++;
            return null;
        }
    }
}
