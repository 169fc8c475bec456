package io.jaywick.cli.report;

import java.util.Map;
import java.util.TreeMap;

import io.jaywick.core.record.RecordMerger;
import io.jaywick.core.record.UsageCounters;

/**
 * Compares the agreed share of a party with its slot time, hour by hour. A share that changes within the period applies
 * from the hour in which it is first reported.
 */
final class ShareSettlement {

    private static final double PERCENT = 100;

    private final RecordMerger merger;
    private final TableDirectory table;
    private final TreeMap<Long, Long> slotMicrosByHour;
    private final long totalSlotMicros;

    ShareSettlement(RecordMerger merger, TableDirectory table, TreeMap<Long, Long> slotMicrosByHour) {
        this.merger = merger;
        this.table = table;
        this.slotMicrosByHour = slotMicrosByHour;
        this.totalSlotMicros =
                slotMicrosByHour.values().stream().mapToLong(Long::longValue).sum();
    }

    UsageReport.PartyRow row(String party, PartyHours hours, UsageCounters counters) {
        double agreedMicros = 0;
        long comparedMicros = 0;
        long takenMicros = 0;
        int hoursOver = 0;
        int hoursWithoutShare = 0;
        long refusedUnderShare = 0;
        for (Map.Entry<Long, Long> hour : slotMicrosByHour.entrySet()) {
            long taken = hours.get(hour.getKey(), PartyHours.SLOT_MICROS);
            int percent = percent(party, hour.getKey());
            if (percent < 0) {
                hoursWithoutShare++;
                continue;
            }
            double agreed = hour.getValue() * (percent / PERCENT);
            agreedMicros += agreed;
            comparedMicros += hour.getValue();
            takenMicros += taken;
            if (taken > agreed) {
                hoursOver++;
            } else if (taken < agreed) {
                refusedUnderShare += hours.get(hour.getKey(), PartyHours.REFUSED_FOR_CAPACITY);
            }
        }
        long slotMicros = counters.get(UsageCounters.SLOT_MICROS);
        return new UsageReport.PartyRow(
                party,
                counters.endedCalls(),
                counters.get(UsageCounters.ANSWERED),
                counters.sum(UsageCounters.REFUSED),
                counters.sum(UsageCounters.UNKNOWN),
                counters.get(UsageCounters.RETRIES),
                slotMicros,
                totalSlotMicros == 0 ? 0 : PERCENT * slotMicros / totalSlotMicros,
                comparedMicros == 0 ? -1 : PERCENT * agreedMicros / comparedMicros,
                Math.round(agreedMicros),
                Math.max(0, Math.round(takenMicros - agreedMicros)),
                hoursOver,
                hoursWithoutShare,
                refusedUnderShare,
                shares(party),
                reasons(counters),
                ReportBuilder.toSortedMap(counters));
    }

    private int percent(String party, long hour) {
        int reported = merger.agreedPercent(party, hour);
        return reported >= 0 ? reported : table.agreedPercents().getOrDefault(party, -1);
    }

    private Map<String, Integer> shares(String party) {
        Map<String, Integer> shares = new TreeMap<>();
        merger.agreedShares(party).forEach((hour, percent) -> shares.put(ReportPeriod.hourText(hour), percent));
        if (shares.isEmpty() && table.agreedPercents().containsKey(party)) {
            shares.put("table", table.agreedPercents().get(party));
        }
        return shares;
    }

    private static Map<String, Long> reasons(UsageCounters counters) {
        Map<String, Long> reasons = new TreeMap<>();
        for (int i = 0; i < counters.size(); i++) {
            if (counters.name(i).startsWith(UsageCounters.REFUSED)) {
                reasons.put(counters.name(i).substring(UsageCounters.REFUSED.length()), counters.value(i));
            }
        }
        return reasons;
    }
}
