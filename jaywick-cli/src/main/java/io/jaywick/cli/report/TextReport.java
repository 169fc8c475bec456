package io.jaywick.cli.report;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** The report as plain text for a terminal. */
final class TextReport implements ReportRenderer {

    private static final int MAX_ROWS_PER_TABLE = 100;

    @Override
    public void render(UsageReport report, Appendable out) throws IOException {
        heading(report, out);
        parties(report, out);
        refusals(report, out);
        links(report, out);
        gaps(report, out);
        damaged(report, out);
        out.append("\nNotes\n");
        for (String note : report.notes()) {
            out.append("- ").append(note).append('\n');
        }
    }

    private static void heading(UsageReport report, Appendable out) throws IOException {
        UsageReport.Input input = report.input();
        out.append("Usage, period ").append(report.period()).append('\n');
        out.append("hours with usage: ")
                .append(report.fromHour())
                .append(" to ")
                .append(report.toHour())
                .append('\n');
        out.append(String.format(
                "read: %s lines in %d files from %s processes on %s servers; %s damaged lines left out%n",
                FigureFormat.count(input.lines()),
                input.files(),
                FigureFormat.count(input.processes()),
                FigureFormat.count(input.servers()),
                FigureFormat.count(report.damagedCount())));
        out.append("may be missing at most: ")
                .append(ReportTexts.hiddenUsage(report.hiddenCalls(), report.hiddenDispatches(), report.bounded()))
                .append('\n');
    }

    private static void parties(UsageReport report, Appendable out) throws IOException {
        List<List<String>> rows = new ArrayList<>();
        for (UsageReport.PartyRow party : report.parties()) {
            rows.add(List.of(
                    TextTable.replaceControlCharacters(party.party()),
                    FigureFormat.count(party.asked()),
                    FigureFormat.count(party.answered()),
                    FigureFormat.count(party.refused()),
                    FigureFormat.count(party.unknown()),
                    FigureFormat.slotTime(party.slotMicros()),
                    FigureFormat.percent(party.agreedPercent()),
                    FigureFormat.percent(party.takenPercent()),
                    party.overSlotMicros() > 0 ? FigureFormat.slotTime(party.overSlotMicros()) : "-",
                    FigureFormat.count(party.refusedUnderShare()),
                    FigureFormat.count(party.hoursWithoutShare())));
        }
        out.append("\nParties (shares of slot time)\n");
        TextTable.render(
                out,
                List.of(
                        "party",
                        "asked",
                        "answered",
                        "refused",
                        "unknown",
                        "slot time",
                        "agreed",
                        "taken",
                        "over by",
                        "refused under share",
                        "hours without share"),
                rows);
        for (UsageReport.PartyRow party : report.parties()) {
            if (party.agreedShares().size() > 1) {
                out.append("agreed share of ")
                        .append(TextTable.replaceControlCharacters(party.party()))
                        .append(": ")
                        .append(ReportTexts.agreedShares(party.agreedShares()))
                        .append('\n');
            }
        }
    }

    private static void refusals(UsageReport report, Appendable out) throws IOException {
        List<List<String>> rows = new ArrayList<>();
        for (UsageReport.PartyRow party : report.parties()) {
            party.refusedByReason()
                    .forEach((reason, count) -> rows.add(List.of(
                            TextTable.replaceControlCharacters(party.party()),
                            TextTable.replaceControlCharacters(reason),
                            FigureFormat.count(count))));
        }
        out.append("\nRefused calls\n");
        TextTable.render(out, List.of("party", "reason", "calls"), rows);
    }

    private static void links(UsageReport report, Appendable out) throws IOException {
        List<List<String>> rows = report.links().stream()
                .map(link ->
                        List.of(TextTable.replaceControlCharacters(link.link()), FigureFormat.megabytes(link.bytes())))
                .collect(Collectors.toList());
        out.append("\nRegional links\n");
        TextTable.render(out, List.of("link", "bytes"), rows);
    }

    private static void gaps(UsageReport report, Appendable out) throws IOException {
        out.append("\nGaps by hour of the last line and data centre\n");
        List<List<String>> groups = new ArrayList<>();
        for (UsageReport.GapGroup group : report.gapGroups()) {
            groups.add(List.of(
                    group.hour(),
                    TextTable.replaceControlCharacters(group.dataCentre()),
                    FigureFormat.count(group.processes()),
                    ReportTexts.hiddenUsage(group.hiddenCalls(), group.hiddenDispatches(), group.bounded())));
        }
        TextTable.render(out, List.of("hour", "data centre", "processes", "may hide at most"), groups);
        out.append("\nLargest gaps by process\n");
        List<List<String>> rows = new ArrayList<>();
        for (UsageReport.GapRow gap : report.gaps()
                .subList(0, Math.min(MAX_ROWS_PER_TABLE, report.gaps().size()))) {
            rows.add(List.of(
                    TextTable.replaceControlCharacters(gap.server()),
                    gap.started(),
                    gap.lastLine().isEmpty() ? "no line" : gap.lastLine(),
                    gap.gracefulEnd() ? "graceful" : "no last line",
                    FigureFormat.count(gap.missingLines()),
                    ReportTexts.hiddenUsage(gap.hiddenCalls(), gap.hiddenDispatches(), gap.bounded())));
        }
        TextTable.render(
                out, List.of("server", "started", "last line", "end", "missing lines", "may hide at most"), rows);
        printOmittedCount(out, report.gaps().size());
        out.append("\nTimes without lines of a server (down, or its lines are missing)\n");
        List<List<String>> silences = new ArrayList<>();
        for (UsageReport.SilenceRow silence : report.silences()
                .subList(0, Math.min(MAX_ROWS_PER_TABLE, report.silences().size()))) {
            silences.add(List.of(
                    TextTable.replaceControlCharacters(silence.server()),
                    silence.from(),
                    silence.to(),
                    FigureFormat.count(silence.seconds()) + " s"));
        }
        TextTable.render(out, List.of("server", "from", "to", "length"), silences);
        printOmittedCount(out, report.silences().size());
        for (String server : report.serversWithoutLines()) {
            out.append("no line at all from server ")
                    .append(TextTable.replaceControlCharacters(server))
                    .append('\n');
        }
    }

    private static void damaged(UsageReport report, Appendable out) throws IOException {
        out.append("\nDamaged lines left out: ")
                .append(FigureFormat.count(report.damagedCount()))
                .append('\n');
        for (DamagedLine line : report.damaged()) {
            out.append(TextTable.replaceControlCharacters(line.file()))
                    .append(':')
                    .append(Long.toString(line.line()))
                    .append(": ")
                    .append(TextTable.replaceControlCharacters(line.reason()))
                    .append('\n');
        }
        if (report.damaged().size() < report.damagedCount()) {
            out.append(FigureFormat.count(
                            report.damagedCount() - report.damaged().size()))
                    .append(" more are counted but not listed\n");
        }
    }

    private static void printOmittedCount(Appendable out, int size) throws IOException {
        if (size > MAX_ROWS_PER_TABLE) {
            out.append(FigureFormat.count(size - MAX_ROWS_PER_TABLE)).append(" more; see the formats csv and json\n");
        }
    }
}
