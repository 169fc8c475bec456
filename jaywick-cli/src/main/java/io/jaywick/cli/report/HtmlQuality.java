package io.jaywick.cli.report;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** The sections of the page that say what the record may lack. */
final class HtmlQuality {

    private HtmlQuality() {}

    static void render(UsageReport report, Appendable out, int maxListed) throws IOException {
        out.append("<section><h2>What may be missing</h2>\n<div class=\"wide\">");
        out.append(groups(report)).append("</div>\n<div class=\"wide\">").append(gaps(report, maxListed));
        more(out, report.gaps().size(), maxListed);
        out.append("</div>\n<div class=\"wide\">").append(silences(report, maxListed));
        more(out, report.silences().size(), maxListed);
        out.append("</div>\n");
        if (!report.serversWithoutLines().isEmpty()) {
            out.append("<p>Servers of the roster without any line: ")
                    .append(Html.escape(String.join(", ", report.serversWithoutLines())))
                    .append("</p>\n");
        }
        out.append("<div class=\"wide\">").append(damaged(report, maxListed));
        more(out, (int) Math.min(Integer.MAX_VALUE, report.damagedCount()), maxListed);
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
                    Figures.count(group.processes()),
                    Figures.count(group.hiddenCalls()),
                    Figures.count(group.hiddenDispatches()),
                    group.bounded() ? "yes" : "NO"));
        }
        return Html.table(
                "Gaps by hour of the last line and data centre",
                2,
                List.of("hour (UTC)", "data centre", "processes", "hidden calls", "hidden dispatches", "bound holds"),
                rows);
    }

    private static String gaps(UsageReport report, int maxListed) {
        List<List<String>> rows = new ArrayList<>();
        for (UsageReport.GapRow gap :
                report.gaps().subList(0, Math.min(maxListed, report.gaps().size()))) {
            rows.add(List.of(
                    gap.server(),
                    gap.started(),
                    gap.lastLine().isEmpty() ? "no line" : gap.lastLine(),
                    gap.gracefulEnd() ? "graceful" : "no last line",
                    Figures.count(gap.missingLines()),
                    Figures.count(gap.hiddenCalls()),
                    Figures.count(gap.hiddenDispatches()),
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

    private static String silences(UsageReport report, int maxListed) {
        List<List<String>> rows = new ArrayList<>();
        for (UsageReport.SilenceRow silence : report.silences()
                .subList(0, Math.min(maxListed, report.silences().size()))) {
            rows.add(List.of(silence.server(), silence.from(), silence.to(), Figures.count(silence.seconds()) + " s"));
        }
        return Html.table(
                "Times without lines of a server: it was down, or its lines are missing",
                3,
                List.of("server", "from", "to", "length"),
                rows);
    }

    private static String damaged(UsageReport report, int maxListed) {
        List<List<String>> rows = new ArrayList<>();
        for (DamagedLine line :
                report.damaged().subList(0, Math.min(maxListed, report.damaged().size()))) {
            rows.add(List.of(line.file(), line.reason(), Long.toString(line.line())));
        }
        return Html.table("Damaged lines left out", 2, List.of("file", "reason", "line"), rows);
    }

    private static void more(Appendable out, int size, int maxListed) throws IOException {
        if (size > maxListed) {
            out.append("<p>")
                    .append(Figures.count(size - maxListed))
                    .append(" more are in the formats csv and json.</p>\n");
        }
    }
}
