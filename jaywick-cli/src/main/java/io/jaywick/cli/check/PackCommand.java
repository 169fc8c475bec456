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

/** Writes the one value to publish. A rejected table is not written. */
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
        return "Packs an accepted table into the value to publish.";
    }

    @Override
    public Options options() {
        return new Options().addRequiredOption(null, "out", true, "file to write");
    }

    @Override
    public int run(CommandLine line, PrintStream out, PrintStream err) {
        Map<String, byte[]> sheets = TableDirectory.read(CheckCommand.directory(line));
        TableVerdict verdict = TableVerdict.ofSheets(sheets);
        byte[] packed = PackedTable.pack(sheets);
        if (verdict.accepted()) {
            write(Path.of(line.getOptionValue("out")), packed);
        }
        VerdictOutput.printText(verdict, packed.length, out);
        return verdict.accepted() ? 0 : 1;
    }

    /** Replaces the file in one step, so that a publisher never sees half a value. */
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
