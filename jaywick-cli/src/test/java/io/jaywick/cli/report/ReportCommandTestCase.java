package io.jaywick.cli.report;

import java.io.BufferedWriter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.regex.Pattern;
import java.util.zip.GZIPOutputStream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.csv.CsvMapper;
import com.fasterxml.jackson.dataformat.csv.CsvParser;
import io.jaywick.cli.CommandLineMain;
import io.jaywick.cli.bench.record.FaultRates;
import io.jaywick.cli.bench.record.FleetOutput;
import io.jaywick.cli.bench.record.FleetShape;
import io.jaywick.cli.bench.record.FleetSimulation;
import io.jaywick.cli.bench.record.UsageTruth;
import io.jaywick.core.record.CallOutcome;
import io.jaywick.core.record.CallUsage;
import io.jaywick.core.record.RecorderIdentity;
import io.jaywick.core.record.RecorderLimits;
import io.jaywick.core.record.UsageRecorder;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

class ReportCommandTestCase {

    private static final long START_MILLIS =
            Instant.parse("2026-11-01T00:00:00Z").toEpochMilli();
    private static final long HOUR_MILLIS = 3_600_000;
    private static final int HOURS = 720;

    @TempDir
    static Path directory;

    private static Path month;
    private Path file = month;
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    /** A month in which four data centres are killed, the agreed shares change once and one line is damaged. */
    @BeforeAll
    static void writeMonth() throws IOException {
        month = directory.resolve("november.jsonl");
        FleetShape shape = new FleetShape(3, 6, 18, 8, 3, 20, HOUR_MILLIS);
        try (BufferedWriter writer = Files.newBufferedWriter(month)) {
            FleetOutput output = new FleetOutput(new UsageTruth(), line -> writeLine(writer, line), ignored -> {});
            FleetSimulation fleet = new FleetSimulation(shape, FaultRates.NONE, 7, START_MILLIS, output);
            for (int hour = 1; hour < HOURS; hour++) {
                fleet.runInterval();
                if (hour % 200 == 100) {
                    fleet.killDataCentre("dc-" + hour / 200);
                }
                if (hour == HOURS / 2) {
                    fleet.setShares(2, 10);
                }
            }
            fleet.endGracefully();
            writeLine(writer, "{\"format\":1,\"kind\":\"counters\"}");
        }
    }

    /** Guards against comparing usage with the last agreed share only, and against omitting gaps and damaged lines. */
    @Test
    void jsonContainsSharesGapsAndDamagedLines() throws IOException {
        assertThat(run("--month", "2026-11", "--format", "json"), equalTo(0));
        JsonNode report = new ObjectMapper().readTree(out.toByteArray());
        JsonNode party = report.get("parties").get(0);
        for (JsonNode each : report.get("parties")) {
            party = each.get("party").asText().equals("party-0") ? each : party;
        }
        assertThat(party.get("agreedShares").size(), equalTo(2));
        assertThat(party.get("agreedPercent").asDouble(), closeTo(17, 1));
        assertThat(party.get("overSlotMicros").asLong(), greaterThan(0L));
        assertThat(report.get("gapGroups").size(), greaterThan(2));
        assertThat(report.get("hiddenCalls").asLong(), greaterThan(0L));
        assertThat(report.get("damagedCount").asLong(), equalTo(1L));
        assertThat(report.get("damaged").get(0).get("line").asLong(), equalTo(lineCount()));
    }

    /** Guards against a page that loads other resources, or that shows figures in a chart only. */
    @Test
    void htmlIsSelfContainedAndAccessible() throws IOException {
        Path page = directory.resolve("report.html");
        assertThat(run("--format", "html", "--out", page.toString()), equalTo(0));
        String html = Files.readString(page);
        String withoutNamespace = html.replace("http://www.w3.org/2000/svg", "");
        assertThat(count(withoutNamespace, "://|src=|href=|@import|url\\((?!#hatch)"), equalTo(0));
        assertThat(html, not(containsString("<script")));
        assertThat(count(html, "<svg xmlns=[^>]* role=\"img\""), equalTo(4));
        assertThat(count(html, "<title id="), equalTo(4));
        assertThat(count(html, "<desc id="), equalTo(4));
        assertThat(count(html, "</figure><div><table><caption>"), equalTo(4));
        assertThat(html, containsString("@media print"));
    }

    /** Guards against names that a spreadsheet runs as a formula or that end a cell, a tag or a terminal line. */
    @Test
    void hostileNamesAreEscaped() throws IOException {
        file = directory.resolve("hostile.jsonl");
        String name = "=cmd|'/c calc'!A1<script>,\"\u001b[2J";
        try (BufferedWriter writer = Files.newBufferedWriter(file);
                UsageRecorder recorder = new UsageRecorder(
                        new RecorderIdentity("s", "d", "r", START_MILLIS, 1),
                        () -> Instant.ofEpochMilli(START_MILLIS),
                        line -> writeLine(writer, line),
                        RecorderLimits.forMaxClaim(100),
                        () -> {},
                        List::of)) {
            recorder.callStarted();
            recorder.callEnded(
                    new CallUsage(name, "+s", "@r", "-g", false, true, 1, 0, CallOutcome.ANSWERED, "", 1, 1, "", 0));
        }
        run("--format", "html");
        assertThat(out.toString(StandardCharsets.UTF_8), not(containsString("<script")));
        out.reset();
        run("--format", "text");
        assertThat(out.toString(StandardCharsets.UTF_8), not(containsString("\u001b")));
        out.reset();
        run("--format", "csv");
        List<List<String>> rows = new CsvMapper()
                .readerForListOf(String.class)
                .with(CsvParser.Feature.WRAP_AS_ARRAY)
                .<List<String>>readValues(out.toString(StandardCharsets.UTF_8))
                .readAll();
        for (List<String> row : rows) {
            assertThat(row.size(), equalTo(10));
            for (String cell : row) {
                assertThat(cell, not(startsWith("=")));
                assertThat(cell, not(startsWith("+")));
                assertThat(cell, not(startsWith("-")));
                assertThat(cell, not(startsWith("@")));
            }
        }
    }

    /** Guards against a truncated compressed file that makes the report fail or is not reported as damaged. */
    @Test
    void truncatedCompressedFileYieldsLinesBeforeTruncation() throws IOException {
        ByteArrayOutputStream compressed = new ByteArrayOutputStream();
        try (OutputStream gzip = new GZIPOutputStream(compressed)) {
            gzip.write(Files.readAllBytes(file));
        }
        byte[] bytes = compressed.toByteArray();
        file = directory.resolve("cut.jsonl.gz");
        Files.write(file, java.util.Arrays.copyOf(bytes, bytes.length / 2));
        assertThat(run("--format", "json"), equalTo(0));
        JsonNode report = new ObjectMapper().readTree(out.toByteArray());
        assertThat(report.get("total").get("answered").asLong(), greaterThan(0L));
        assertThat(report.get("damagedCount").asLong(), greaterThan(0L));
    }

    /** Guards against a report that omits servers of the roster without lines, or shares that only the table contains. */
    @Test
    void tableAddsServersWithoutLinesAndUnreportedShares() throws IOException {
        Files.writeString(directory.resolve("servers.csv"), "server,data_centre,service\nserver-0,d,s\nlost,d,s\n");
        Files.writeString(
                directory.resolve("parties.csv"),
                "party,limit_calls,window_millis,agreed_share_percent,home_regions,importance\nidle,1,1,9,,1\n");
        assertThat(run("--table", directory.toString(), "--format", "json"), equalTo(0));
        JsonNode report = new ObjectMapper().readTree(out.toByteArray());
        assertThat(report.get("serversWithoutLines").toString(), equalTo("[\"lost\"]"));
        assertThat(report.get("parties").findValuesAsText("party"), org.hamcrest.Matchers.hasItem("idle"));
    }

    /** Guards against wrong arguments that end in a stack trace or in an empty report. */
    @Test
    void invalidArgumentsExitWithStatusTwo() {
        assertThat(run("--month", "2026-13"), equalTo(2));
        assertThat(run("--format", "pdf"), equalTo(2));
        file = directory.resolve("none");
        assertThat(run(), equalTo(2));
        assertThat(err.toString(StandardCharsets.UTF_8), containsString("cannot read"));
    }

    private int run(String... options) {
        String[] args = new String[options.length + 2];
        args[0] = "report";
        args[1] = file.toString();
        System.arraycopy(options, 0, args, 2, options.length);
        return CommandLineMain.run(
                args,
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8));
    }

    private long lineCount() throws IOException {
        try (var lines = Files.lines(file)) {
            return lines.count();
        }
    }

    private static int count(String text, String pattern) {
        return (int) Pattern.compile(pattern).matcher(text).results().count();
    }

    private static void writeLine(BufferedWriter writer, String line) {
        try {
            writer.write(line);
            writer.write('\n');
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}
