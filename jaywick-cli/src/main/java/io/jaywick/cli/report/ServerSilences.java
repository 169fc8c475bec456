package io.jaywick.cli.report;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.jaywick.core.record.MergedProcess;

/** Finds times in which no process of a server wrote a line. */
final class ServerSilences {

    /** An ordinary restart takes less. A process whose lines are all missing is undetected if it ran for less than this. */
    private static final long MIN_SILENCE_MILLIS = 300_000;

    private record ProcessLifetime(long fromMillis, long toMillis) {}

    private final Map<String, List<ProcessLifetime>> lifetimesByServer = new TreeMap<>();
    private long earliestMillis = Long.MAX_VALUE;
    private long latestMillis;

    void add(MergedProcess process) {
        ProcessLifetime lifetime = new ProcessLifetime(process.identity().incarnation(), process.lastWrittenMillis());
        lifetimesByServer
                .computeIfAbsent(process.identity().server(), ignored -> new ArrayList<>())
                .add(lifetime);
        earliestMillis = Math.min(earliestMillis, lifetime.fromMillis());
        latestMillis = Math.max(latestMillis, lifetime.toMillis());
    }

    List<UsageReport.SilenceRow> rows() {
        List<UsageReport.SilenceRow> rows = new ArrayList<>();
        lifetimesByServer.forEach((server, lifetimes) -> {
            lifetimes.sort(Comparator.comparingLong(ProcessLifetime::fromMillis));
            long coveredUntilMillis = earliestMillis;
            for (ProcessLifetime lifetime : lifetimes) {
                addRow(rows, server, coveredUntilMillis, lifetime.fromMillis());
                coveredUntilMillis = Math.max(coveredUntilMillis, lifetime.toMillis());
            }
            addRow(rows, server, coveredUntilMillis, latestMillis);
        });
        return rows;
    }

    private static void addRow(List<UsageReport.SilenceRow> rows, String server, long from, long to) {
        if (to - from >= MIN_SILENCE_MILLIS) {
            rows.add(new UsageReport.SilenceRow(
                    server, ReportPeriod.timeText(from), ReportPeriod.timeText(to), (to - from) / 1_000));
        }
    }
}
