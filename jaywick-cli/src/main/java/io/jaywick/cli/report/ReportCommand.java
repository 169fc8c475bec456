package io.jaywick.cli.report;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import io.jaywick.cli.Command;
import io.jaywick.cli.UsageException;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** The command {@code report}. See docs/operate-report.md. */
public final class ReportCommand implements Command {

    @Override
    public String name() {
        return "report";
    }

    @Override
    public String usage() {
        return "FILE... [--month YYYY-MM] [--table DIRECTORY] [--format text|csv|json|html] [--out FILE]";
    }

    @Override
    public String summary() {
        return "Report usage by party from the usage record of the nodes";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(null, "month", true, "only the hours of this month (UTC), YYYY-MM")
                .addOption(
                        null,
                        "table",
                        true,
                        "table directory with the roster, and with agreed shares for hours without a reported one")
                .addOption(null, "format", true, "text (default), csv, json or html")
                .addOption(null, "out", true, "file to write instead of standard output");
    }

    @Override
    public int run(CommandLine commandLine, PrintStream out, PrintStream err) throws IOException {
        List<Path> files = commandLine.getArgList().stream().map(Path::of).toList();
        if (files.isEmpty()) {
            throw new UsageException("no FILE given");
        }
        for (Path file : files) {
            if (!Files.isRegularFile(file) || !Files.isReadable(file)) {
                throw new UsageException("cannot read " + file);
            }
        }
        String format = commandLine.getOptionValue("format", "text");
        ReportRenderer renderer = ReportRenderer.of(format);
        if (renderer == null) {
            throw new UsageException("--format is '" + format + "'; allowed are text, csv, json and html");
        }
        ReportPeriod period = ReportPeriod.parse(commandLine.getOptionValue("month"));
        TableDirectory table = commandLine.hasOption("table")
                ? TableDirectory.read(Path.of(commandLine.getOptionValue("table")))
                : TableDirectory.NONE;
        UsageReport report =
                new RecordReader(period, RecordReader.DEFAULT_MAX_ENTRIES_IN_MEMORY).read(files, table, () -> {});
        if (commandLine.hasOption("out")) {
            try (BufferedWriter writer = Files.newBufferedWriter(Path.of(commandLine.getOptionValue("out")))) {
                renderer.render(report, writer);
            }
        } else {
            renderer.render(report, out);
        }
        return 0;
    }
}
