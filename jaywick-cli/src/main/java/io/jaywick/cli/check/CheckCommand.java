package io.jaywick.cli.check;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Map;

import io.jaywick.cli.Command;
import io.jaywick.cli.UsageException;
import io.jaywick.core.table.PackedTable;
import io.jaywick.core.verdict.TableVerdict;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * Prints the verdict on the sheets of a directory. The exit status is 0 when the table is accepted, 1 when it is
 * rejected, and 2 when the directory cannot be read.
 */
public final class CheckCommand implements Command {

    @Override
    public String name() {
        return "check";
    }

    @Override
    public String usage() {
        return "DIRECTORY [--json]";
    }

    @Override
    public String summary() {
        return "Checks a table and prints the verdict.";
    }

    @Override
    public Options options() {
        return new Options().addOption(null, "json", false, "print the verdict as JSON");
    }

    @Override
    public int run(CommandLine line, PrintStream out, PrintStream err) throws Exception {
        Map<String, byte[]> sheets = TableDirectory.read(directoryArgument(line));
        TableVerdict verdict = TableVerdict.ofSheets(sheets);
        int packedBytes = PackedTable.pack(sheets).length;
        if (line.hasOption("json")) {
            VerdictOutput.printJson(verdict, packedBytes, out);
        } else {
            VerdictOutput.printText(verdict, packedBytes, out);
        }
        return verdict.accepted() ? 0 : 1;
    }

    static Path directoryArgument(CommandLine line) {
        if (line.getArgs().length != 1) {
            throw new UsageException("expected one DIRECTORY, found " + line.getArgList());
        }
        return Path.of(line.getArgs()[0]);
    }
}
