package io.jaywick.cli.bench;

import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.Map;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.jaywick.cli.Command;
import io.jaywick.cli.UsageException;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/** Compares calls through jaywick with a naive strategy, over sockets on the loopback address. */
public final class CallsBenchCommand implements Command {

    private static final String DEFAULT_SEED = "1";

    /** The result that is printed as JSON. */
    record Result(long seed, Map<String, CallsFigures> strategies, double addedLatencyP99Millis) {}

    @Override
    public String name() {
        return "bench calls";
    }

    @Override
    public String usage() {
        return "[--seed S] [--json]";
    }

    @Override
    public String summary() {
        return "Compares calls through jaywick with a naive strategy: latency, moves, retries and cold starts.";
    }

    @Override
    public Options options() {
        Options options = new Options();
        options.addOption(null, "seed", true, "seed of the random choices, default " + DEFAULT_SEED);
        options.addOption(null, "json", false, "print JSON");
        return options;
    }

    @Override
    public int run(CommandLine line, PrintStream out, PrintStream err) throws Exception {
        long seed = seed(line);
        Scheduler timers = Schedulers.newParallel("bench-calls");
        try {
            err.println("measuring the added latency");
            double added = AddedLatency.p99Millis(timers, seed);
            Map<String, CallsFigures> strategies = new LinkedHashMap<>();
            err.println("measuring strategy jaywick");
            strategies.put("jaywick", new CallsRun(false, timers, seed).run());
            err.println("measuring strategy naive");
            strategies.put("naive", new CallsRun(true, timers, seed).run());
            print(new Result(seed, strategies, added), line.hasOption("json"), out);
            return 0;
        } finally {
            timers.dispose();
        }
    }

    private static void print(Result result, boolean json, PrintStream out) throws Exception {
        if (json) {
            out.println(new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(result));
            return;
        }
        out.println("seed " + result.seed() + ", added latency p99 " + result.addedLatencyP99Millis() + " ms");
        result.strategies().forEach((name, figures) -> out.println(name + ": " + figures));
    }

    private static long seed(CommandLine line) {
        String text = line.getOptionValue("seed", DEFAULT_SEED);
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new UsageException("--seed must be an integer, got '" + text + "'", e);
        }
    }
}
