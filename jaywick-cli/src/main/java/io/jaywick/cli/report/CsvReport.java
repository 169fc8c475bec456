package io.jaywick.cli.report;

import java.io.IOException;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.dataformat.csv.CsvMapper;
import com.fasterxml.jackson.dataformat.csv.CsvSchema;

/**
 * The report as one table (RFC 4180) with one figure in each row, so that a spreadsheet can filter and pivot it. A
 * name that a spreadsheet could take for a formula is preceded by an apostrophe.
 */
final class CsvReport implements ReportRenderer {

    private static final List<String> COLUMNS =
            List.of("section", "period", "party", "service", "route", "region", "nested", "subject", "figure", "value");

    private static final String FORMULA_START_CHARACTERS = "=+-@\t\r\n|%";

    private final ObjectWriter writer = new CsvMapper()
            .writer(CsvSchema.builder()
                    .addColumns(COLUMNS, CsvSchema.ColumnType.STRING)
                    .setLineSeparator("\r\n")
                    .build());

    @Override
    public void render(UsageReport report, Appendable out) throws IOException {
        out.append(String.join(",", COLUMNS)).append("\r\n");
        for (Map.Entry<String, Long> figure : report.total().entrySet()) {
            row(out, report, "total", "", "", figure.getKey(), figure.getValue());
        }
        row(out, report, "total", "", "", "hiddenCalls", report.hiddenCalls());
        row(out, report, "total", "", "", "hiddenDispatches", report.hiddenDispatches());
        row(out, report, "total", "", "", "bounded", report.bounded());
        row(out, report, "total", "", "", "damagedLines", report.damagedCount());
        for (UsageReport.PartyRow party : report.parties()) {
            renderParty(report, party, out);
        }
        for (UsageReport.UsageRow usage : report.usage()) {
            for (Map.Entry<String, Long> figure : usage.counters().entrySet()) {
                append(
                        out,
                        List.of(
                                "usage",
                                report.period(),
                                usage.party(),
                                usage.service(),
                                usage.route(),
                                usage.region(),
                                usage.nested() ? "true" : "false",
                                "",
                                figure.getKey(),
                                figure.getValue().toString()));
            }
        }
        for (UsageReport.LinkRow link : report.links()) {
            row(out, report, "link", "", link.link(), "bytes", link.bytes());
            for (Map.Entry<String, Long> party : link.byParty().entrySet()) {
                row(out, report, "link", party.getKey(), link.link(), "bytes", party.getValue());
            }
        }
        for (UsageReport.DayRow day : report.days()) {
            row(out, report, "day", "", day.day(), "asked", day.asked());
            row(out, report, "day", "", day.day(), "slotMicros", day.slotMicros());
            row(out, report, "day", "", day.day(), "hiddenCalls", day.hiddenCalls());
        }
        renderQuality(report, out);
    }

    private void renderParty(UsageReport report, UsageReport.PartyRow party, Appendable out) throws IOException {
        String name = party.party();
        Map<String, Object> figures = new java.util.LinkedHashMap<>();
        figures.put("asked", party.asked());
        figures.put("answered", party.answered());
        figures.put("refused", party.refused());
        figures.put("unknown", party.unknown());
        figures.put("slotMicros", party.slotMicros());
        figures.put("takenPercent", party.takenPercent());
        figures.put("agreedPercent", party.agreedPercent() < 0 ? "" : party.agreedPercent());
        figures.put("agreedSlotMicros", party.agreedSlotMicros());
        figures.put("overSlotMicros", party.overSlotMicros());
        figures.put("hoursOver", party.hoursOver());
        figures.put("hoursWithoutShare", party.hoursWithoutShare());
        figures.put("refusedUnderShare", party.refusedUnderShare());
        for (Map.Entry<String, Object> figure : figures.entrySet()) {
            row(out, report, "party", name, "", figure.getKey(), figure.getValue());
        }
        for (Map.Entry<String, Integer> share : party.agreedShares().entrySet()) {
            row(out, report, "share", name, share.getKey(), "agreedPercent", share.getValue());
        }
    }

    private void renderQuality(UsageReport report, Appendable out) throws IOException {
        for (UsageReport.GapRow gap : report.gaps()) {
            String subject = gap.server() + " " + gap.started();
            row(out, report, "gap", "", subject, "lastLine", gap.lastLine());
            row(out, report, "gap", "", subject, "hiddenCalls", gap.hiddenCalls());
            row(out, report, "gap", "", subject, "hiddenDispatches", gap.hiddenDispatches());
            row(out, report, "gap", "", subject, "bounded", gap.bounded());
        }
        for (UsageReport.SilenceRow silence : report.silences()) {
            String subject = silence.server() + " " + silence.from();
            row(out, report, "silence", "", subject, "seconds", silence.seconds());
        }
        for (String server : report.serversWithoutLines()) {
            row(out, report, "silence", "", server, "lines", 0);
        }
        for (DamagedLine damaged : report.damaged()) {
            String subject = damaged.file() + ":" + damaged.line();
            row(out, report, "damaged", "", subject, "reason", damaged.reason());
        }
        for (String note : report.notes()) {
            row(out, report, "note", "", "", "note", note);
        }
    }

    private void row(
            Appendable out,
            UsageReport report,
            String section,
            String party,
            String subject,
            String figure,
            Object value)
            throws IOException {
        append(out, List.of(section, report.period(), party, "", "", "", "", subject, figure, value.toString()));
    }

    private void append(Appendable out, List<String> cells) throws IOException {
        out.append(writer.writeValueAsString(
                cells.stream().map(CsvReport::escapeFormula).toList()));
    }

    /** Puts an apostrophe before text that starts like a formula. Figures are never negative, so numbers are unchanged. */
    static String escapeFormula(String text) {
        String start = text.stripLeading();
        boolean formula = !start.isEmpty() && FORMULA_START_CHARACTERS.indexOf(start.charAt(0)) >= 0
                || !text.isEmpty() && FORMULA_START_CHARACTERS.indexOf(text.charAt(0)) >= 0;
        return formula ? "'" + text : text;
    }
}
