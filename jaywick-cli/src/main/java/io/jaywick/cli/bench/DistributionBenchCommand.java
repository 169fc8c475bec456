package io.jaywick.cli.bench;

import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import io.jaywick.cli.Command;
import io.jaywick.cli.UsageException;
import io.jaywick.node.peer.SpreadStrategy;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Compares the strategies that propagate table versions to all nodes. */
public final class DistributionBenchCommand implements Command {

    private static final int MAX_NODES = 1_000;

    @Override
    public String name() {
        return "bench distribution";
    }

    @Override
    public String usage() {
        return "[--nodes N] [--edits E] [--strategy NAME|all] [--seed S] [--quiet-seconds Q] [--json]";
    }

    @Override
    public String summary() {
        return "Measures the time and the cost of propagating edits to all nodes.";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(null, "nodes", true, "number of nodes in this process, 6 to " + MAX_NODES + " (default 50)")
                .addOption(null, "edits", true, "number of edits to publish, 2 to 1000 (default 6)")
                .addOption(null, "strategy", true, "naive, announce, flood, tree or all (default all)")
                .addOption(null, "seed", true, "seed of the table and of the random choices (default 1)")
                .addOption(null, "quiet-seconds", true, "seconds to measure without edits, 1 to 600 (default 10)")
                .addOption(null, "json", false, "print JSON");
    }

    @Override
    public int run(CommandLine line, PrintStream out, PrintStream err) throws Exception {
        int nodes = (int) longOption(line, "nodes", 50, 6, MAX_NODES);
        int edits = (int) longOption(line, "edits", 6, 2, 1_000);
        long seed = longOption(line, "seed", 1, Long.MIN_VALUE, Long.MAX_VALUE);
        long quietMillis = 1_000 * longOption(line, "quiet-seconds", 10, 1, 600);
        Map<String, DistributionResult> results = new LinkedHashMap<>();
        for (SpreadStrategy strategy : strategies(line.getOptionValue("strategy", "all"))) {
            String name = strategy.name().toLowerCase(Locale.ROOT);
            err.println("measuring strategy " + name + " with " + nodes + " nodes and seed " + seed);
            results.put(name, new DistributionBench(nodes, edits, seed, quietMillis).run(strategy));
        }
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("nodes", nodes);
        report.put("edits", edits);
        report.put("seed", seed);
        report.put("strategies", results);
        if (line.hasOption("json")) {
            out.println(new ObjectMapper()
                    .enable(SerializationFeature.INDENT_OUTPUT)
                    .writeValueAsString(report));
        } else {
            print(results, out);
        }
        return results.values().stream().allMatch(DistributionResult::allConverged) ? 0 : 1;
    }

    private static void print(Map<String, DistributionResult> results, PrintStream out) {
        String format = "%-9s %7s %7s %7s %9s %12s %12s %9s %9s %9s %7s%n";
        out.printf(
                format,
                "strategy",
                "p50 ms",
                "p99 ms",
                "max ms",
                "restart",
                "B/node/edit",
                "region B/ed",
                "calls/ed",
                "restart",
                "quiet B/s",
                "all");
        results.forEach((name, r) -> out.printf(
                format,
                name,
                r.convergenceP50Millis(),
                r.convergenceP99Millis(),
                r.convergenceMaxMillis(),
                r.restartMaxMillis(),
                r.controlBytesPerNodePerEdit(),
                r.crossRegionBytesPerEdit(),
                String.format(Locale.ROOT, "%.1f", r.sourceCallsPerEdit()),
                r.sourceCallsInRestart(),
                r.quietBytesOutPerNodePerSecond(),
                r.allConverged()));
    }

    private static List<SpreadStrategy> strategies(String name) {
        if (name.equals("all")) {
            return List.of(SpreadStrategy.values());
        }
        for (SpreadStrategy strategy : SpreadStrategy.values()) {
            if (strategy.name().toLowerCase(Locale.ROOT).equals(name)) {
                return List.of(strategy);
            }
        }
        throw new UsageException("--strategy must be naive, announce, flood, tree or all, got '" + name + "'");
    }

    private static long longOption(CommandLine line, String option, long defaultValue, long min, long max) {
        String text = line.getOptionValue(option);
        if (text == null) {
            return defaultValue;
        }
        try {
            long value = Long.parseLong(text);
            if (value >= min && value <= max) {
                return value;
            }
        } catch (NumberFormatException e) {
            throw new UsageException("--" + option + " must be an integer, got '" + text + "'", e);
        }
        throw new UsageException("--" + option + " is " + text + ", but must be " + min + " to " + max);
    }
}
