package io.jaywick.cli.check;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Map;

import io.jaywick.cli.Command;
import io.jaywick.cli.UsageException;
import io.jaywick.core.table.PackedTable;
import io.jaywick.core.verdict.TableVerdict;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Packs a table into the value that is published to the configuration service. A rejected table is not written. */
public final class PackCommand implements Command {

    @Override
    public String name() {
        return "pack";
    }

    @Override
    public String usage() {
        return "DIRECTORY --out FILE";
    }

    @Override
    public String summary() {
        return "Packs an accepted table into the value that is published.";
    }

    @Override
    public Options options() {
        return new Options().addRequiredOption(null, "out", true, "file to which the packed table is written");
    }

    @Override
    public int run(CommandLine line, PrintStream out, PrintStream err) {
        Map<String, byte[]> sheets = TableDirectory.read(CheckCommand.directoryArgument(line));
        TableVerdict verdict = TableVerdict.ofSheets(sheets);
        byte[] packed = PackedTable.pack(sheets);
        if (verdict.accepted()) {
            write(Path.of(line.getOptionValue("out")), packed);
        }
        VerdictOutput.printText(verdict, packed.length, out);
        return verdict.accepted() ? 0 : 1;
    }

    /** Replaces the file atomically, so that a publisher never reads a partly written value. */
    private static void write(Path file, byte[] packed) {
        Path absolute = file.toAbsolutePath();
        Path temporary = absolute.resolveSibling(absolute.getFileName() + ".part");
        try {
            Files.write(temporary, packed);
            Files.move(temporary, absolute, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            throw new UsageException("cannot write " + file + ": " + e, e);
        }
    }
}
