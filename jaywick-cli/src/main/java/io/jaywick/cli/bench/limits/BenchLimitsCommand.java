package io.jaywick.cli.bench.limits;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.jaywick.cli.Command;
import io.jaywick.cli.UsageException;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Compares strategies that enforce party limits, under the same demand and faults. */
public final class BenchLimitsCommand implements Command {

    private static final long DEFAULT_SEED = 1;
    private static final int[] DEMAND_SERVER_COUNTS = {1, 10, 100};

    @Override
    public String name() {
        return "bench limits";
    }

    @Override
    public String usage() {
        return "[--seed S] [--json]";
    }

    @Override
    public String summary() {
        return "Compares strategies that enforce party limits, under the same faults in virtual time.";
    }

    @Override
    public Options options() {
        Options options = new Options();
        options.addOption(null, "seed", true, "seed of the random choices, default 1");
        options.addOption(null, "json", false, "print JSON");
        return options;
    }

    @Override
    public int run(CommandLine line, PrintStream out, PrintStream err) throws Exception {
        long seed = seed(line);
        Map<String, Object> strategies = new LinkedHashMap<>();
        for (LimitStrategy strategy : LimitStrategy.values()) {
            Map<String, Integer> over = new LinkedHashMap<>();
            Map<String, Double> usable = new LinkedHashMap<>();
            for (LimitCase limitCase : LimitCase.values()) {
                LimitBench.Result result = LimitBench.run(strategy, limitCase, LimitFleetOptions.standard(), seed);
                over.put(limitCase.key(), result.maxOverLimitCalls());
                usable.put(limitCase.key(), Math.round(result.usableShare() * 1_000) / 1_000.0);
                if (!line.hasOption("json")) {
                    out.printf(
                            Locale.ROOT,
                            "%-8s %-12s maxOverLimitCalls %5d  usableShare %.3f%n",
                            strategy.key(),
                            limitCase.key(),
                            result.maxOverLimitCalls(),
                            result.usableShare());
                }
            }
            strategies.put(strategy.key(), Map.of("maxOverLimitCalls", over, "usableShare", usable));
        }
        List<LimitCost.Cost> costs = new ArrayList<>();
        for (int demandServers : DEMAND_SERVER_COUNTS) {
            costs.add(LimitCost.measure(demandServers, seed));
        }
        if (!line.hasOption("json")) {
            costs.forEach(cost -> out.println("escrow   " + cost));
        }
        if (line.hasOption("json")) {
            Map<String, Object> result = new LinkedHashMap<>();
            result.put("seed", seed);
            result.put("strategies", strategies);
            result.put("escrowCostPerParty", costs);
            out.println(new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(result));
        }
        return 0;
    }

    private static long seed(CommandLine line) {
        String text = line.getOptionValue("seed", String.valueOf(DEFAULT_SEED));
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new UsageException("--seed must be an integer, got '" + text + "'", e);
        }
    }
}
