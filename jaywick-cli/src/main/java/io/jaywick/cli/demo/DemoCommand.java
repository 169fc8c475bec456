package io.jaywick.cli.demo;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.jaywick.cli.Command;
import io.jaywick.cli.CommandRunner;
import io.jaywick.cli.report.ReportCommand;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Runs an example fleet in one process and checks every promise. The exit status is 0 only when all promises held. */
public final class DemoCommand implements Command {

    @Override
    public String name() {
        return "demo";
    }

    @Override
    public String usage() {
        return "[--fleet tarfur|magnolia] [--json]";
    }

    @Override
    public String summary() {
        return "Runs a fleet on loopback, edits its table, evacuates a data centre, and checks every promise.";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(null, "fleet", true, "example fleet: tarfur (default) or magnolia")
                .addOption(
                        null, "json", false, "print the result as JSON on standard output, progress on standard error");
    }

    @Override
    public int run(CommandLine line, PrintStream out, PrintStream err) throws IOException {
        FleetProfile profile = FleetProfile.byName(line.getOptionValue("fleet", FleetProfile.TARFUR.name()));
        PrintStream progress = line.hasOption("json") ? err : out;
        Map<String, byte[]> sheets = ExampleTables.read(profile.name());
        Path directory = Files.createTempDirectory("jaywick-demo-");
        Path usageFile = directory.resolve("usage.jsonl");
        DemoResult result;
        try (BufferedWriter writer = Files.newBufferedWriter(usageFile);
                DemoFleet fleet = new DemoFleet(profile, sheets, usage -> appendLine(writer, usage))) {
            result = new DemoRun(profile, sheets, progress::println).run(fleet);
        }
        printUsageReport(usageFile, directory, progress, err);
        result.broken().forEach(promise -> progress.println("BROKEN: " + promise));
        progress.println(result.ok() ? "every promise held" : "a promise was broken");
        if (line.hasOption("json")) {
            out.println(new ObjectMapper().writeValueAsString(result));
        } else {
            printSummary(result, out);
        }
        return result.ok() ? 0 : 1;
    }

    private static void appendLine(BufferedWriter writer, String line) {
        synchronized (writer) {
            try {
                writer.write(line);
                writer.newLine();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    private static void printUsageReport(Path usageFile, Path directory, PrintStream progress, PrintStream err) {
        CommandRunner runner = new CommandRunner(java.util.List.of(new ReportCommand()), progress, err);
        Path html = directory.resolve("report.html");
        progress.println();
        runner.run(new String[] {"report", usageFile.toString()});
        runner.run(new String[] {"report", usageFile.toString(), "--format", "html", "--out", html.toString()});
        progress.println();
        progress.println("usage lines: " + usageFile);
        progress.println("report: " + html);
    }

    private static void printSummary(DemoResult result, PrintStream out) {
        DemoResult.Calls calls = result.calls();
        out.printf(
                "calls: %d sent, %d answered, %d refused without being run, %d failed, %d run more than once%n",
                calls.sent(), calls.answered(), calls.refusedNotRun(), calls.failed(), calls.ranTwice());
        out.printf(
                "control traffic: %d bytes per node during the run, %d calls to the configuration service%n",
                result.controlBytesPerNode(), result.sourceCalls());
    }
}
