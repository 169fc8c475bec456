package io.jaywick.cli.scenario;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;

import io.jaywick.cli.Command;
import io.jaywick.cli.UsageException;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * Runs scenario files with a range of seeds. For each file it prints the violations of the first seed that violates a
 * promise, with the trace up to the first of them. The exit status is 1 when a promise was violated.
 */
public final class ScenarioCommand implements Command {

    private static final int EXIT_VIOLATED = 1;

    @Override
    public String name() {
        return "scenario";
    }

    @Override
    public String usage() {
        return "FILE... [--seeds 1..200]";
    }

    @Override
    public String summary() {
        return "Runs failure scenarios in virtual time and checks their promises.";
    }

    @Override
    public Options options() {
        Options options = new Options();
        options.addOption(null, "seeds", true, "one seed or a range FIRST..LAST (default 1)");
        return options;
    }

    @Override
    public int run(CommandLine line, PrintStream out, PrintStream err) throws IOException {
        if (line.getArgList().isEmpty()) {
            throw new UsageException("expected at least one FILE");
        }
        long[] seeds = parseSeeds(line.getOptionValue("seeds", "1"));
        int status = 0;
        for (String name : line.getArgList()) {
            Path file = Path.of(name);
            if (!runFile(file, ScenarioFile.read(file), seeds, out)) {
                status = EXIT_VIOLATED;
            }
        }
        return status;
    }

    private static boolean runFile(Path file, Scenario scenario, long[] seeds, PrintStream out) {
        for (long seed = seeds[0]; seed <= seeds[1]; seed++) {
            ScenarioRunner.Outcome outcome = ScenarioRunner.run(scenario, seed);
            if (outcome.violations().isEmpty()) {
                continue;
            }
            out.println(file + ": promise violated with seed " + seed);
            for (ScenarioDriver.Violation violation : outcome.violations()) {
                out.println("  " + violation.promise() + ": " + violation.evidence());
            }
            outcome.trace().linesUntil(outcome.violations().get(0).atNanos()).forEach(text -> out.println("  " + text));
            out.println("  reproduce with: jaywick scenario " + file + " --seeds " + seed);
            return false;
        }
        out.println(file + ": all promises held with seeds " + seeds[0] + " to " + seeds[1]);
        return true;
    }

    private static long[] parseSeeds(String text) {
        String[] bounds = text.split("\\.\\.", -1);
        try {
            long first = Long.parseLong(bounds[0]);
            long last = bounds.length == 1 ? first : Long.parseLong(bounds[1]);
            if (bounds.length <= 2 && first <= last) {
                return new long[] {first, last};
            }
        } catch (NumberFormatException e) {
            throw new UsageException("--seeds is '" + text + "', allowed is SEED or FIRST..LAST", e);
        }
        throw new UsageException("--seeds is '" + text + "', allowed is SEED or FIRST..LAST");
    }
}
