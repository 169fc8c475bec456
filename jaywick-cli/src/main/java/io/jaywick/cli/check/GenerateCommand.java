package io.jaywick.cli.check;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Map;

import io.jaywick.cli.Command;
import io.jaywick.cli.UsageException;
import io.jaywick.core.table.PackedTable;
import io.jaywick.core.verdict.TableVerdict;
import io.jaywick.standin.source.TableGenerator;
import io.jaywick.standin.source.TableShape;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Writes a generated table of the design size. The same seed gives the same table. */
public final class GenerateCommand implements Command {

    @Override
    public String name() {
        return "generate";
    }

    @Override
    public String usage() {
        return "--seed S --out DIRECTORY";
    }

    @Override
    public String summary() {
        return "Generates a table of the design size and writes its sheets.";
    }

    @Override
    public Options options() {
        return new Options()
                .addRequiredOption(null, "seed", true, "whole number; the same seed gives the same table")
                .addRequiredOption(null, "out", true, "directory to which the sheets are written");
    }

    @Override
    public int run(CommandLine line, PrintStream out, PrintStream err) {
        if (!line.getArgList().isEmpty()) {
            throw new UsageException("unexpected arguments " + line.getArgList());
        }
        Map<String, byte[]> sheets =
                new TableGenerator(parseSeed(line.getOptionValue("seed")), TableShape.DESIGN_SIZE).sheets();
        TableDirectory.write(Path.of(line.getOptionValue("out")), sheets);
        TableVerdict verdict = TableVerdict.ofSheets(sheets);
        VerdictOutput.printText(verdict, PackedTable.pack(sheets).length, out);
        return verdict.accepted() ? 0 : 1;
    }

    private static long parseSeed(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new UsageException("--seed '" + text + "' is not a whole number", e);
        }
    }
}
