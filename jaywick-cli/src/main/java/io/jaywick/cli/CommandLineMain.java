package io.jaywick.cli;

import java.io.PrintStream;
import java.util.List;

import io.jaywick.cli.bench.CallsBenchCommand;
import io.jaywick.cli.check.CheckCommand;
import io.jaywick.cli.check.GenerateCommand;
import io.jaywick.cli.check.PackCommand;

/** Entry point of the operators' command line. */
public final class CommandLineMain {

    private CommandLineMain() {}

    public static void main(String[] args) {
        System.exit(run(args, System.out, System.err));
    }

    /** Runs one command and returns the exit status. */
    public static int run(String[] args, PrintStream out, PrintStream err) {
        return new CommandRunner(commands(), out, err).run(args);
    }

    private static List<Command> commands() {
        return List.of(new CallsBenchCommand(), new CheckCommand(), new GenerateCommand(), new PackCommand());
    }
}
