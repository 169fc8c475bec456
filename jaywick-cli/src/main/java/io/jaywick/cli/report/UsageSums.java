package io.jaywick.cli.report;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

import io.jaywick.core.record.UsageCounters;
import io.jaywick.core.record.UsageKey;

/** Sums of merged counters over all processes of a period. */
final class UsageSums {

    /** Bounds memory; further rows are summed in one overflow row for each party. */
    private static final int MAX_USAGE_ROWS = 1_000_000;

    private final ReportPeriod period;
    private final Map<UsageKey, UsageCounters> rows = new HashMap<>();
    private final Map<String, PartyHours> parties = new TreeMap<>();
    private final Map<String, UsageCounters> countersByParty = new TreeMap<>();
    private final UsageCounters total = new UsageCounters();

    UsageSums(ReportPeriod period) {
        this.period = period;
    }

    void add(UsageKey key, UsageCounters counters) {
        if (!period.contains(key.hour())) {
            return;
        }
        UsageKey row =
                new UsageKey(key.label(), key.party(), key.service(), key.route(), key.region(), key.nested(), 0);
        if (rows.size() >= MAX_USAGE_ROWS && !rows.containsKey(row)) {
            row = new UsageKey(UsageKey.OVERFLOW, key.party(), "", "", "", false, 0);
        }
        rows.computeIfAbsent(row, ignored -> new UsageCounters()).addAll(counters);
        String name = partyName(key);
        parties.computeIfAbsent(name, ignored -> new PartyHours()).add(key.hour(), counters);
        countersByParty.computeIfAbsent(name, ignored -> new UsageCounters()).addAll(counters);
        total.addAll(counters);
    }

    /** Name of a party, or its label in parentheses, or {@code (none)} for calls that named no known party. */
    static String partyName(UsageKey key) {
        if (!key.label().isEmpty()) {
            return "(" + key.label() + ")";
        }
        return key.party().isEmpty() ? "(none)" : key.party();
    }

    Map<UsageKey, UsageCounters> rows() {
        return rows;
    }

    Map<String, PartyHours> parties() {
        return parties;
    }

    Map<String, UsageCounters> countersByParty() {
        return countersByParty;
    }

    UsageCounters total() {
        return total;
    }
}
