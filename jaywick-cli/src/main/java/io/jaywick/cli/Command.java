package io.jaywick.cli;

import java.io.PrintStream;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** A command of the {@code jaywick} program, found by its name. */
public interface Command {

    /** Returns the words that follow the program name, for example {@code check} or {@code bench calls}. */
    String name();

    /** Returns the synopsis of the arguments and options, for example {@code DIRECTORY [--json]}. */
    String usage();

    /** Returns one sentence that describes the command in the list of commands and in its help. */
    String summary();

    /** Returns a new set of the options of the command, to which the caller adds {@code --help}. */
    Options options();

    /**
     * Runs the command.
     *
     * @param line parsed options and the remaining arguments
     * @param out receives the results
     * @param err receives progress and diagnostics
     * @return exit status: 0 on success, 1 when the verdict of the command is negative, 2 for wrong usage or
     *     unreadable input
     */
    int run(CommandLine line, PrintStream out, PrintStream err) throws Exception;
}
