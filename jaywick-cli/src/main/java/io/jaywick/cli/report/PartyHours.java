package io.jaywick.cli.report;

import java.util.TreeMap;

import io.jaywick.core.record.UsageCounters;

/** Hourly figures of one party, for the comparison with its agreed share. */
final class PartyHours {

    static final int SLOT_MICROS = 0;
    static final int ASKED = 1;
    static final int REFUSED_FOR_CAPACITY = 2;
    private static final int FIGURE_COUNT = 3;

    private final TreeMap<Long, long[]> hours = new TreeMap<>();

    void add(long hour, UsageCounters counters) {
        long[] figures = hours.computeIfAbsent(hour, ignored -> new long[FIGURE_COUNT]);
        figures[SLOT_MICROS] += counters.get(UsageCounters.SLOT_MICROS);
        figures[ASKED] += counters.endedCalls();
        figures[REFUSED_FOR_CAPACITY] +=
                counters.get(UsageCounters.REFUSED + "overloaded") + counters.get(UsageCounters.REFUSED + "cold");
    }

    /** Returns a figure of one hour, or 0 when the party has no usage in that hour. */
    long get(long hour, int figure) {
        long[] figures = hours.get(hour);
        return figures == null ? 0 : figures[figure];
    }

    TreeMap<Long, long[]> hours() {
        return hours;
    }
}
