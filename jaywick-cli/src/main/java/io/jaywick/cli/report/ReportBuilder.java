package io.jaywick.cli.report;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import io.jaywick.core.record.ProcessGap;
import io.jaywick.core.record.RecordMerger;
import io.jaywick.core.record.UsageCounters;

/** Turns the sums of a period into the content of the report. */
final class ReportBuilder {

    private static final long HOURS_PER_DAY = 24;
    private static final int DATE_CHARS = 10;

    private final ReportPeriod period;
    private final TableDirectory table;
    private final RecordMerger merger;
    private final UsageSums sums;
    private final List<ProcessGap> gaps;
    private final ServerSilences silences;

    ReportBuilder(
            ReportPeriod period,
            TableDirectory table,
            RecordMerger merger,
            UsageSums sums,
            List<ProcessGap> gaps,
            ServerSilences silences) {
        this.period = period;
        this.table = table;
        this.merger = merger;
        this.sums = sums;
        this.gaps = gaps;
        this.silences = silences;
    }

    UsageReport build(UsageReport.Input input, RecordFileReader files) {
        TreeMap<Long, Long> slotMicrosByHour = new TreeMap<>();
        TreeMap<Long, Long> askedByHour = new TreeMap<>();
        for (PartyHours party : sums.parties().values()) {
            party.hours().forEach((hour, figures) -> {
                slotMicrosByHour.merge(hour, figures[PartyHours.SLOT_MICROS], Long::sum);
                askedByHour.merge(hour, figures[PartyHours.ASKED], Long::sum);
            });
        }
        gaps.sort(Comparator.comparingLong(ProcessGap::callBound)
                .reversed()
                .thenComparing(ProcessGap::server)
                .thenComparingLong(ProcessGap::incarnation));
        boolean empty = askedByHour.isEmpty();
        return new UsageReport(
                period.name(),
                empty ? "" : ReportPeriod.hourText(askedByHour.firstKey()),
                empty ? "" : ReportPeriod.hourText(askedByHour.lastKey()),
                input,
                toSortedMap(sums.total()),
                gaps.stream().mapToLong(ProcessGap::callBound).sum(),
                gaps.stream().mapToLong(ProcessGap::dispatchBound).sum(),
                gaps.stream().allMatch(ProcessGap::bounded),
                partyRows(slotMicrosByHour),
                usageRows(),
                linkRows(),
                dayRows(askedByHour, slotMicrosByHour),
                gapGroups(),
                gaps.stream().map(ReportBuilder::gapRow).toList(),
                silences.rows(),
                serversWithoutLines(),
                files.damagedCount(),
                files.damaged(),
                ReportNotes.all());
    }

    private List<UsageReport.PartyRow> partyRows(TreeMap<Long, Long> slotMicrosByHour) {
        Set<String> names = new TreeSet<>(sums.parties().keySet());
        names.addAll(merger.partiesWithShare());
        names.addAll(table.agreedPercents().keySet());
        ShareSettlement settlement = new ShareSettlement(merger, table, slotMicrosByHour);
        List<UsageReport.PartyRow> rows = new ArrayList<>();
        for (String name : names) {
            rows.add(settlement.row(
                    name,
                    sums.parties().getOrDefault(name, new PartyHours()),
                    sums.countersByParty().getOrDefault(name, new UsageCounters())));
        }
        return rows;
    }

    private List<UsageReport.UsageRow> usageRows() {
        List<UsageReport.UsageRow> rows = new ArrayList<>();
        sums.rows()
                .forEach((key, counters) -> rows.add(new UsageReport.UsageRow(
                        UsageSums.partyName(key),
                        key.service(),
                        key.route(),
                        key.region(),
                        key.nested(),
                        toSortedMap(counters))));
        rows.sort(Comparator.comparing(UsageReport.UsageRow::party)
                .thenComparing(UsageReport.UsageRow::service)
                .thenComparing(UsageReport.UsageRow::route)
                .thenComparing(UsageReport.UsageRow::region)
                .thenComparing(UsageReport.UsageRow::nested));
        return rows;
    }

    private List<UsageReport.LinkRow> linkRows() {
        TreeMap<String, TreeMap<String, Long>> links = new TreeMap<>();
        sums.countersByParty().forEach((party, counters) -> {
            for (int i = 0; i < counters.size(); i++) {
                if (counters.name(i).startsWith(UsageCounters.LINK_BYTES)) {
                    links.computeIfAbsent(
                                    counters.name(i).substring(UsageCounters.LINK_BYTES.length()),
                                    ignored -> new TreeMap<>())
                            .put(party, counters.value(i));
                }
            }
        });
        List<UsageReport.LinkRow> rows = new ArrayList<>();
        links.forEach((link, parties) -> rows.add(new UsageReport.LinkRow(
                link, parties.values().stream().mapToLong(Long::longValue).sum(), parties)));
        return rows;
    }

    private List<UsageReport.DayRow> dayRows(TreeMap<Long, Long> asked, TreeMap<Long, Long> slotMicros) {
        TreeMap<Long, long[]> days = new TreeMap<>();
        asked.forEach((hour, value) -> day(days, hour)[0] += value);
        slotMicros.forEach((hour, value) -> day(days, hour)[1] += value);
        for (ProcessGap gap : gaps) {
            long hour = hourOfLastLine(gap);
            if (period.contains(hour)) {
                day(days, hour)[2] += gap.callBound();
            }
        }
        List<UsageReport.DayRow> rows = new ArrayList<>();
        days.forEach((day, figures) -> rows.add(new UsageReport.DayRow(
                ReportPeriod.hourText(day * HOURS_PER_DAY).substring(0, DATE_CHARS),
                figures[0],
                figures[1],
                figures[2])));
        return rows;
    }

    private static long[] day(TreeMap<Long, long[]> days, long hour) {
        return days.computeIfAbsent(Math.floorDiv(hour, HOURS_PER_DAY), ignored -> new long[3]);
    }

    /** Hour of the last line; the missing calls may be later or, if earlier lines are missing, earlier. */
    private static long hourOfLastLine(ProcessGap gap) {
        return Math.floorDiv(Math.max(gap.lastWrittenMillis(), gap.incarnation()), 3_600_000L);
    }

    private List<UsageReport.GapGroup> gapGroups() {
        TreeMap<String, List<ProcessGap>> groups = new TreeMap<>();
        for (ProcessGap gap : gaps) {
            groups.computeIfAbsent(
                            ReportPeriod.hourText(hourOfLastLine(gap)) + " " + gap.dataCentre(),
                            ignored -> new ArrayList<>())
                    .add(gap);
        }
        List<UsageReport.GapGroup> rows = new ArrayList<>();
        groups.values()
                .forEach(group -> rows.add(new UsageReport.GapGroup(
                        ReportPeriod.hourText(hourOfLastLine(group.get(0))),
                        group.get(0).dataCentre(),
                        group.size(),
                        group.stream().mapToLong(ProcessGap::callBound).sum(),
                        group.stream().mapToLong(ProcessGap::dispatchBound).sum(),
                        group.stream().allMatch(ProcessGap::bounded))));
        return rows;
    }

    private static UsageReport.GapRow gapRow(ProcessGap gap) {
        return new UsageReport.GapRow(
                gap.server(),
                gap.dataCentre(),
                ReportPeriod.timeText(gap.incarnation()),
                gap.lastWrittenMillis() == 0 ? "" : ReportPeriod.timeText(gap.lastWrittenMillis()),
                gap.hasFinalLine(),
                gap.missingLines(),
                gap.missingCalls(),
                gap.callBound(),
                gap.missingDispatches(),
                gap.dispatchBound(),
                gap.bounded());
    }

    private List<String> serversWithoutLines() {
        TreeSet<String> missing = new TreeSet<>(table.servers());
        missing.removeAll(merger.servers());
        return List.copyOf(missing);
    }

    static TreeMap<String, Long> toSortedMap(UsageCounters counters) {
        TreeMap<String, Long> map = new TreeMap<>();
        for (int i = 0; i < counters.size(); i++) {
            map.put(counters.name(i), counters.value(i));
        }
        return map;
    }
}
