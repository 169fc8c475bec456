package io.jaywick.cli;

import java.io.PrintStream;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** One command of the command line. */
public interface Command {

    /** Words after the program name, for example {@code check} or {@code bench calls}. */
    String name();

    /** Usage of the arguments and options, for example {@code DIRECTORY [--json]}. */
    String usage();

    /** One sentence for the list of commands. */
    String summary();

    /** Options of the command; {@code --help} is added to them. */
    Options options();

    /**
     * Runs the command.
     *
     * @param line parsed options and the remaining arguments
     * @param out results; progress and diagnostics go to {@code err}
     * @return exit status: 0 when the command did what it says, 1 when its verdict is negative, 2 for wrong usage or
     *     unreadable input
     */
    int run(CommandLine line, PrintStream out, PrintStream err) throws Exception;
}
