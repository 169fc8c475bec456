package io.jaywick.cli;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

import io.jaywick.cli.bench.CallsBenchCommand;
import io.jaywick.cli.bench.DistributionBenchCommand;
import io.jaywick.cli.bench.limits.BenchLimitsCommand;
import io.jaywick.cli.bench.record.RecordBenchCommand;
import io.jaywick.cli.check.CheckCommand;
import io.jaywick.cli.check.GenerateCommand;
import io.jaywick.cli.check.PackCommand;
import io.jaywick.cli.demo.DemoCommand;
import io.jaywick.cli.explain.ExplainCommand;
import io.jaywick.cli.explain.ExplainWhereCommand;
import io.jaywick.cli.report.ReportCommand;
import io.jaywick.cli.scenario.ScenarioCommand;
import io.jaywick.cli.standin.StandinCommand;
import io.jaywick.cli.status.StatusCommand;
import io.jaywick.node.log.LibraryLogs;

/** Entry point of the command line for operators. */
public final class CommandLineMain {

    private CommandLineMain() {}

    public static void main(String[] args) {
        LibraryLogs.redirect();
        System.exit(run(args, System.out, System.err));
    }

    /** Runs one command and returns the exit status. */
    public static int run(String[] args, PrintStream out, PrintStream err) {
        return new CommandRunner(commands(), out, err).run(args);
    }

    private static List<Command> commands() {
        List<Command> commands = new ArrayList<>();
        commands.add(new CallsBenchCommand());
        commands.add(new DistributionBenchCommand());
        commands.add(new BenchLimitsCommand());
        commands.add(new RecordBenchCommand());
        commands.add(new CheckCommand());
        commands.add(new DemoCommand());
        commands.add(new ExplainCommand());
        commands.add(new ExplainWhereCommand());
        commands.add(new GenerateCommand());
        commands.add(new PackCommand());
        commands.add(new ReportCommand());
        commands.add(new ScenarioCommand());
        commands.add(new StandinCommand());
        commands.add(new StatusCommand());
        return commands;
    }
}
