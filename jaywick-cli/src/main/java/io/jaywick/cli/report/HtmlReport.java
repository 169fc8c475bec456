package io.jaywick.cli.report;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;

/** The report as one HTML page that needs no other resource and no script. */
final class HtmlReport implements ReportRenderer {

    private static final int MAX_ROWS_PER_TABLE = 200;

    private static final String PAGE_START =
            """
            <!DOCTYPE html>
            <html lang="en"><head><meta charset="utf-8">
            <meta name="viewport" content="width=device-width, initial-scale=1">
            <meta http-equiv="Content-Security-Policy" content="default-src 'none'; style-src 'unsafe-inline'">
            <title>%s</title>
            <style>
            body { font: 15px/1.45 sans-serif; color: #111; background: #fff; margin: 1.5em auto; max-width: 76em;
              padding: 0 1em }
            h1 { font-size: 1.5em } h2 { font-size: 1.2em; margin-top: 2em; border-bottom: 2px solid #111 }
            .pair { display: grid; gap: 1.5em }
            .pair figure { margin: 0; max-width: 46em } .pair > div { overflow-x: auto }
            .wide { overflow-x: auto }
            svg { width: 100%%; height: auto } svg text { font: 11px sans-serif; fill: #111 }
            table { border-collapse: collapse; font-size: 0.9em } caption { text-align: left; font-weight: bold;
              padding: 0.3em 0 }
            th, td { border: 1px solid #888; padding: 0.2em 0.5em; text-align: left; vertical-align: top }
            thead th { background: #eee } .n { text-align: right; white-space: nowrap }
            tbody th { font-weight: normal } tbody tr:nth-child(even) { background: #f7f7f7 }
            .key { border: 2px solid #111; padding: 0.5em 1em }
            @media print { body { font-size: 10pt; margin: 0; max-width: none } thead { display: table-header-group }
              tr, svg { break-inside: avoid } .pair { display: block } .wide, .pair > div { overflow: visible } }
            </style></head><body>
            <svg width="0" height="0" style="position:absolute" aria-hidden="true"><defs>
            <pattern id="hatch" width="6" height="6" patternUnits="userSpaceOnUse" patternTransform="rotate(45)">
            <rect width="6" height="6" fill="#fff"/><rect width="2" height="6" fill="#222"/></pattern></defs></svg>
            """;

    @Override
    public void render(UsageReport report, Appendable out) throws IOException {
        String title = "jaywick usage report, " + (report.period().equals("all") ? "all hours" : report.period());
        out.append(PAGE_START.formatted(Html.escape(title)));
        out.append("<main>\n<h1>").append(Html.escape(title)).append("</h1>\n");
        summary(report, out);
        shares(report, out);
        days(report, out);
        refusals(report, out);
        links(report, out);
        HtmlDataQuality.render(report, out, MAX_ROWS_PER_TABLE);
        out.append("</main>\n</body></html>\n");
    }

    private static void summary(UsageReport report, Appendable out) throws IOException {
        UsageReport.Input input = report.input();
        long asked =
                report.parties().stream().mapToLong(UsageReport.PartyRow::asked).sum();
        out.append("<p>Hours with usage: ")
                .append(Html.escape(report.fromHour()))
                .append(" to ")
                .append(Html.escape(report.toHour()))
                .append(" (UTC). Read: ")
                .append(FigureFormat.count(input.lines()))
                .append(" lines from ")
                .append(FigureFormat.count(input.processes()))
                .append(" processes on ")
                .append(FigureFormat.count(input.servers()))
                .append(" servers; ")
                .append(FigureFormat.count(report.damagedCount()))
                .append(" damaged lines left out.</p>\n<p class=\"key\"><strong>")
                .append(FigureFormat.count(asked))
                .append(
                        " calls counted.</strong> No figure is too high. Missing at most, in total and for any one party: <strong>")
                .append(ReportTexts.hiddenUsage(report.hiddenCalls(), report.hiddenDispatches(), report.bounded()))
                .append("</strong>.</p>\n");
    }

    private static void shares(UsageReport report, Appendable out) throws IOException {
        BarChart chart = new BarChart(
                "shares",
                "Agreed and taken share of each party",
                "Two bars for each party: taken share and agreed share of slot time in percent. The table has the same"
                        + " figures.",
                List.of("taken share", "agreed share"));
        List<List<String>> rows = new ArrayList<>();
        List<UsageReport.PartyRow> parties = new ArrayList<>(report.parties());
        parties.sort(
                Comparator.comparingDouble(UsageReport.PartyRow::takenPercent).reversed());
        for (UsageReport.PartyRow party : parties) {
            chart.add(
                    party.party(),
                    party.overSlotMicros() > 0 ? ", over" : "",
                    new BarChart.Bar(party.takenPercent(), FigureFormat.percent(party.takenPercent())),
                    new BarChart.Bar(party.agreedPercent(), FigureFormat.percent(party.agreedPercent())));
            rows.add(List.of(
                    party.party(),
                    party.agreedShares().size() > 1 ? ReportTexts.agreedShares(party.agreedShares()) : "",
                    FigureFormat.percent(party.agreedPercent()),
                    FigureFormat.percent(party.takenPercent()),
                    FigureFormat.slotTime(party.slotMicros()),
                    party.overSlotMicros() > 0 ? FigureFormat.slotTime(party.overSlotMicros()) : "\u2013",
                    FigureFormat.count(party.hoursOver()),
                    FigureFormat.count(party.refusedUnderShare()),
                    FigureFormat.count(party.hoursWithoutShare())));
        }
        section(
                out,
                "Agreed and taken shares",
                chart,
                Html.table(
                        "Shares of slot time",
                        2,
                        List.of(
                                "party",
                                "changes of the share",
                                "agreed",
                                "taken",
                                "slot time",
                                "over by",
                                "hours over",
                                "refused while under share",
                                "hours without share"),
                        rows));
    }

    private static void days(UsageReport report, Appendable out) throws IOException {
        BarChart chart = new BarChart(
                "days",
                "Calls of each day",
                "One bar for each day: calls counted. Days with gaps are marked with the calls that may be missing."
                        + " The table has the same figures.",
                List.of("calls counted"));
        List<List<String>> rows = new ArrayList<>();
        for (UsageReport.DayRow day : report.days()) {
            chart.add(
                    day.day(),
                    day.hiddenCalls() > 0 ? "  \u25b2 up to " + FigureFormat.count(day.hiddenCalls()) + " missing" : "",
                    new BarChart.Bar(day.asked(), FigureFormat.count(day.asked())));
            rows.add(List.of(
                    day.day(),
                    FigureFormat.count(day.asked()),
                    FigureFormat.slotTime(day.slotMicros()),
                    FigureFormat.count(day.hiddenCalls())));
        }
        section(
                out,
                "Calls by day",
                chart,
                Html.table("Days (UTC)", 1, List.of("day", "calls counted", "slot time", "may be missing"), rows));
    }

    private static void refusals(UsageReport report, Appendable out) throws IOException {
        BarChart chart = new BarChart(
                "refusals",
                "Refused calls of each party",
                "One bar for each party: refused calls. The table has the same figures by reason.",
                List.of("refused calls"));
        List<List<String>> rows = new ArrayList<>();
        for (UsageReport.PartyRow party : report.parties()) {
            chart.add(party.party(), "", new BarChart.Bar(party.refused(), FigureFormat.count(party.refused())));
            String reasons = party.refusedByReason().entrySet().stream()
                    .map(reason -> reason.getKey() + " " + FigureFormat.count(reason.getValue()))
                    .collect(Collectors.joining(", "));
            rows.add(List.of(
                    party.party(),
                    reasons,
                    FigureFormat.count(party.asked()),
                    FigureFormat.count(party.refused()),
                    FigureFormat.count(party.unknown())));
        }
        section(
                out,
                "Refused calls",
                chart,
                Html.table(
                        "Calls by party",
                        2,
                        List.of("party", "refused by reason", "asked", "refused", "unknown"),
                        rows));
    }

    private static void links(UsageReport report, Appendable out) throws IOException {
        BarChart chart = new BarChart(
                "links",
                "Bytes over each regional link",
                "One bar for each link between regions: megabytes. The table has the same figures by party.",
                List.of("megabytes"));
        List<List<String>> rows = new ArrayList<>();
        for (UsageReport.LinkRow link : report.links()) {
            chart.add(link.link(), "", new BarChart.Bar(link.bytes(), FigureFormat.megabytes(link.bytes())));
            rows.add(List.of(link.link(), "all", FigureFormat.megabytes(link.bytes())));
            link.byParty()
                    .forEach((party, bytes) -> rows.add(List.of(link.link(), party, FigureFormat.megabytes(bytes))));
        }
        section(
                out,
                "Regional links",
                chart,
                Html.table("Bytes over regional links", 2, List.of("link", "party", "megabytes"), rows));
    }

    private static void section(Appendable out, String heading, BarChart chart, String table) throws IOException {
        out.append("<section><h2>")
                .append(heading)
                .append("</h2>\n<div class=\"pair\"><figure>")
                .append(chart.svg())
                .append("</figure><div>")
                .append(table)
                .append("</div></div></section>\n");
    }
}
