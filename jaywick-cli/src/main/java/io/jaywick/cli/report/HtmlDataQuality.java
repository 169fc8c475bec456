package io.jaywick.cli.report;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** The sections of the HTML report on missing and damaged record lines, and the notes. */
final class HtmlDataQuality {

    private HtmlDataQuality() {}

    static void render(UsageReport report, Appendable out, int maxRows) throws IOException {
        out.append("<section><h2>What may be missing</h2>\n<div class=\"wide\">");
        out.append(groups(report)).append("</div>\n<div class=\"wide\">").append(gaps(report, maxRows));
        appendOmittedCount(out, report.gaps().size(), maxRows);
        out.append("</div>\n<div class=\"wide\">").append(silences(report, maxRows));
        appendOmittedCount(out, report.silences().size(), maxRows);
        out.append("</div>\n");
        if (!report.serversWithoutLines().isEmpty()) {
            out.append("<p>Servers of the roster without any line: ")
                    .append(Html.escape(String.join(", ", report.serversWithoutLines())))
                    .append("</p>\n");
        }
        out.append("<div class=\"wide\">").append(damaged(report, maxRows));
        appendOmittedCount(out, (int) Math.min(Integer.MAX_VALUE, report.damagedCount()), maxRows);
        out.append("</div></section>\n<section><h2>Notes</h2><ul>\n");
        for (String note : report.notes()) {
            out.append("<li>").append(Html.escape(note)).append("</li>\n");
        }
        out.append("</ul></section>\n");
    }

    private static String groups(UsageReport report) {
        List<List<String>> rows = new ArrayList<>();
        for (UsageReport.GapGroup group : report.gapGroups()) {
            rows.add(List.of(
                    group.hour(),
                    group.dataCentre().isEmpty() ? "unknown" : group.dataCentre(),
                    FigureFormat.count(group.processes()),
                    FigureFormat.count(group.hiddenCalls()),
                    FigureFormat.count(group.hiddenDispatches()),
                    group.bounded() ? "yes" : "NO"));
        }
        return Html.table(
                "Gaps by hour of the last line and data centre",
                2,
                List.of("hour (UTC)", "data centre", "processes", "hidden calls", "hidden dispatches", "bound holds"),
                rows);
    }

    private static String gaps(UsageReport report, int maxRows) {
        List<List<String>> rows = new ArrayList<>();
        for (UsageReport.GapRow gap :
                report.gaps().subList(0, Math.min(maxRows, report.gaps().size()))) {
            rows.add(List.of(
                    gap.server(),
                    gap.started(),
                    gap.lastLine().isEmpty() ? "no line" : gap.lastLine(),
                    gap.gracefulEnd() ? "graceful" : "no last line",
                    FigureFormat.count(gap.missingLines()),
                    FigureFormat.count(gap.hiddenCalls()),
                    FigureFormat.count(gap.hiddenDispatches()),
                    gap.bounded() ? "yes" : "NO"));
        }
        return Html.table(
                "Largest gaps by process",
                4,
                List.of(
                        "server",
                        "started",
                        "last line",
                        "end",
                        "missing lines",
                        "hidden calls",
                        "hidden dispatches",
                        "bound holds"),
                rows);
    }

    private static String silences(UsageReport report, int maxRows) {
        List<List<String>> rows = new ArrayList<>();
        for (UsageReport.SilenceRow silence :
                report.silences().subList(0, Math.min(maxRows, report.silences().size()))) {
            rows.add(List.of(
                    silence.server(), silence.from(), silence.to(), FigureFormat.count(silence.seconds()) + " s"));
        }
        return Html.table(
                "Times without lines of a server: it was down, or its lines are missing",
                3,
                List.of("server", "from", "to", "length"),
                rows);
    }

    private static String damaged(UsageReport report, int maxRows) {
        List<List<String>> rows = new ArrayList<>();
        for (DamagedLine line :
                report.damaged().subList(0, Math.min(maxRows, report.damaged().size()))) {
            rows.add(List.of(line.file(), line.reason(), Long.toString(line.line())));
        }
        return Html.table("Damaged lines left out", 2, List.of("file", "reason", "line"), rows);
    }

    private static void appendOmittedCount(Appendable out, int size, int maxRows) throws IOException {
        if (size > maxRows) {
            out.append("<p>")
                    .append(FigureFormat.count(size - maxRows))
                    .append(" more are in the formats csv and json.</p>\n");
        }
    }
}
