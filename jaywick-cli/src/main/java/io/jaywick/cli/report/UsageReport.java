package io.jaywick.cli.report;

import java.util.List;
import java.util.Map;

/**
 * Content of the report. See docs/operate-report.md for how to read it.
 *
 * @param hiddenCalls maximum number of calls missing from the record; the same bound holds for each party and in total
 * @param hiddenDispatches the same for dispatches
 * @param bounded false when more usage of some process may be missing than the bounds say
 * @param damagedCount number of damaged lines, which are left out
 * @param damaged the first of the damaged lines
 */
public record UsageReport(
        String period,
        String fromHour,
        String toHour,
        Input input,
        Map<String, Long> total,
        long hiddenCalls,
        long hiddenDispatches,
        boolean bounded,
        List<PartyRow> parties,
        List<UsageRow> usage,
        List<LinkRow> links,
        List<DayRow> days,
        List<GapGroup> gapGroups,
        List<GapRow> gaps,
        List<SilenceRow> silences,
        List<String> serversWithoutLines,
        long damagedCount,
        List<DamagedLine> damaged,
        List<String> notes) {

    /** Numbers of files, lines, processes and servers that were read. */
    public record Input(int files, long lines, long processes, long servers) {}

    /**
     * One party.
     *
     * @param agreedPercent agreed share over the hours with a known share, weighted by the slot time of all parties;
     *     -1 when unknown
     * @param takenPercent share of the slot time of all parties
     * @param agreedSlotMicros slot time to which the agreed share amounts
     * @param overSlotMicros slot time used in excess of the agreed share over the period, 0 when not exceeded
     * @param hoursOver hours in which the party took more than its share
     * @param hoursWithoutShare hours with usage but without a known share, left out of the comparison
     * @param refusedUnderShare calls refused as {@code overloaded} or {@code cold} in hours in which the party took
     *     less than its share
     * @param agreedShares agreed share by the hour from which it applies
     */
    public record PartyRow(
            String party,
            long asked,
            long answered,
            long refused,
            long unknown,
            long retries,
            long slotMicros,
            double takenPercent,
            double agreedPercent,
            long agreedSlotMicros,
            long overSlotMicros,
            int hoursOver,
            int hoursWithoutShare,
            long refusedUnderShare,
            Map<String, Integer> agreedShares,
            Map<String, Long> refusedByReason,
            Map<String, Long> counters) {}

    /** Sums by party, service, route, region and nesting. */
    public record UsageRow(
            String party, String service, String route, String region, boolean nested, Map<String, Long> counters) {}

    /** Bytes over one regional link. */
    public record LinkRow(String link, long bytes, Map<String, Long> byParty) {}

    /** One day (UTC). */
    public record DayRow(String day, long asked, long slotMicros, long hiddenCalls) {}

    /** Gaps of one data centre whose last lines fall into the same hour. */
    public record GapGroup(
            String hour, String dataCentre, int processes, long hiddenCalls, long hiddenDispatches, boolean bounded) {}

    /** Usage that may be missing from the record of one process; see {@link io.jaywick.core.record.ProcessGap}. */
    public record GapRow(
            String server,
            String dataCentre,
            String started,
            String lastLine,
            boolean gracefulEnd,
            long missingLines,
            long missingCalls,
            long hiddenCalls,
            long missingDispatches,
            long hiddenDispatches,
            boolean bounded) {}

    /** A time in which no process of a server wrote a line: the server was down, or all lines of a process are missing. */
    public record SilenceRow(String server, String from, String to, long seconds) {}
}
