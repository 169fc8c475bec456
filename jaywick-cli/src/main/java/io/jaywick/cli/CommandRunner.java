package io.jaywick.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;

/** Selects the command named by the arguments, parses its options and runs it. */
public final class CommandRunner {

    static final int EXIT_OK = 0;
    static final int EXIT_USAGE = 2;

    private static final String PROGRAM = "jaywick";

    private final List<Command> commands;
    private final PrintStream out;
    private final PrintStream err;

    public CommandRunner(List<Command> commands, PrintStream out, PrintStream err) {
        this.commands = commands;
        this.out = out;
        this.err = err;
    }

    /**
     * Runs the command that the arguments name. A failure is printed to the error stream and gives status 2.
     *
     * @return exit status of the command
     */
    public int run(String[] args) {
        if (args.length == 0) {
            printCommands(err);
            return EXIT_USAGE;
        }
        if (args[0].equals("--help") || args[0].equals("help")) {
            printCommands(out);
            return EXIT_OK;
        }
        if (args[0].equals("--version")) {
            out.println(PROGRAM + " " + version());
            return EXIT_OK;
        }
        Command command = find(args);
        if (command == null) {
            err.println(PROGRAM + ": unknown command '" + args[0] + "'; see '" + PROGRAM + " --help'");
            return EXIT_USAGE;
        }
        return run(command, Arrays.copyOfRange(args, command.name().split(" ").length, args.length));
    }

    private int run(Command command, String[] args) {
        Options options = command.options();
        options.addOption(null, "help", false, "print this help");
        try {
            if (Arrays.asList(args).contains("--help")) {
                printHelp(command, options);
                return EXIT_OK;
            }
            CommandLine line =
                    DefaultParser.builder().setAllowPartialMatching(false).get().parse(options, args);
            return command.run(line, out, err);
        } catch (ParseException | UsageException e) {
            err.println(PROGRAM + " " + command.name() + ": " + e.getMessage());
            return EXIT_USAGE;
        } catch (Exception e) {
            err.println(PROGRAM + " " + command.name() + ": " + e);
            return EXIT_USAGE;
        }
    }

    private Command find(String[] args) {
        Command found = null;
        for (Command command : commands) {
            String[] words = command.name().split(" ");
            if (words.length <= args.length && Arrays.equals(words, Arrays.copyOf(args, words.length))) {
                found = command;
            }
        }
        return found;
    }

    private void printCommands(PrintStream stream) {
        stream.println("usage: " + PROGRAM + " COMMAND [OPTIONS]");
        stream.println("       " + PROGRAM + " --help | --version | COMMAND --help");
        stream.println();
        for (Command command : commands) {
            stream.printf("  %-20s %s%n", command.name(), command.summary());
        }
    }

    private void printHelp(Command command, Options options) throws IOException {
        StringBuilder text = new StringBuilder();
        HelpFormatter formatter = HelpFormatter.builder()
                .setHelpAppendable(new org.apache.commons.cli.help.TextHelpAppendable(text))
                .setShowSince(false)
                .get();
        formatter.printHelp(
                PROGRAM + " " + command.name() + " " + command.usage(), command.summary(), options, "", false);
        out.print(text);
    }

    private static String version() {
        String version = CommandRunner.class.getPackage().getImplementationVersion();
        return version == null ? "development" : version;
    }
}
