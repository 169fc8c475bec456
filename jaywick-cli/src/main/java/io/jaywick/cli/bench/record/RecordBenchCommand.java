package io.jaywick.cli.bench.record;

import java.io.IOException;
import java.io.PrintStream;
import java.util.Map;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import io.jaywick.cli.Command;
import io.jaywick.cli.UsageException;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * The command {@code bench record}: measures cost and accuracy of the usage record and compares it with plain counters
 * and peer copies.
 */
public final class RecordBenchCommand implements Command {

    private static final String DEFAULT_LINES = "20000";

    @Override
    public String name() {
        return "bench record";
    }

    @Override
    public String usage() {
        return "[--lines N] [--seed S] [--json]";
    }

    @Override
    public String summary() {
        return "Measure the usage record: speed and memory of reports, accuracy after process kills, cost of a call";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(
                        null,
                        "lines",
                        true,
                        "record lines to collect and read into a report, 1000 to 10000000; default " + DEFAULT_LINES)
                .addOption(null, "seed", true, "seed of the simulated fleet; default 1")
                .addOption(null, "json", false, "print JSON");
    }

    @Override
    public int run(CommandLine line, PrintStream out, PrintStream err) throws IOException {
        long lines = number(line, "lines", DEFAULT_LINES, 1_000, 10_000_000);
        long seed = number(line, "seed", "1", Long.MIN_VALUE, Long.MAX_VALUE);
        Map<String, Object> result = new RecordBench(lines, seed).run();
        if (line.hasOption("json")) {
            out.println(new ObjectMapper()
                    .enable(SerializationFeature.INDENT_OUTPUT)
                    .writeValueAsString(result));
        } else {
            print(result, "", out);
        }
        return (long) result.get("overCount") == 0 && (long) result.get("missing") <= (long) result.get("missingBound")
                ? 0
                : 1;
    }

    private static void print(Map<?, ?> values, String indent, PrintStream out) {
        values.forEach((name, value) -> {
            if (value instanceof Map<?, ?> nested) {
                out.println(indent + name + ":");
                print(nested, indent + "  ", out);
            } else {
                out.println(indent + name + ": " + value);
            }
        });
    }

    private static long number(CommandLine line, String option, String defaultValue, long min, long max) {
        String value = line.getOptionValue(option, defaultValue);
        try {
            long number = Long.parseLong(value);
            if (number >= min && number <= max) {
                return number;
            }
        } catch (NumberFormatException e) {
            throw new UsageException("--" + option + " is '" + value + "'; must be a whole number", e);
        }
        throw new UsageException("--" + option + " is '" + value + "'; must be from " + min + " to " + max);
    }
}
