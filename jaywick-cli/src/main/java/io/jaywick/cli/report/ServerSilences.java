package io.jaywick.cli.report;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.jaywick.core.record.MergedProcess;

/** Finds times in which no process of a server wrote a line. */
final class ServerSilences {

    /** An ordinary restart takes less; a process that lived shorter than this may leave no other trace. */
    private static final long SHORTEST_MILLIS = 300_000;

    private record Life(long fromMillis, long toMillis) {}

    private final Map<String, List<Life>> lives = new TreeMap<>();
    private long earliestMillis = Long.MAX_VALUE;
    private long latestMillis;

    void add(MergedProcess process) {
        Life life = new Life(process.identity().incarnation(), process.lastWrittenMillis());
        lives.computeIfAbsent(process.identity().server(), ignored -> new ArrayList<>())
                .add(life);
        earliestMillis = Math.min(earliestMillis, life.fromMillis());
        latestMillis = Math.max(latestMillis, life.toMillis());
    }

    List<UsageReport.SilenceRow> rows() {
        List<UsageReport.SilenceRow> rows = new ArrayList<>();
        lives.forEach((server, list) -> {
            list.sort(Comparator.comparingLong(Life::fromMillis));
            long until = earliestMillis;
            for (Life life : list) {
                addRow(rows, server, until, life.fromMillis());
                until = Math.max(until, life.toMillis());
            }
            addRow(rows, server, until, latestMillis);
        });
        return rows;
    }

    private static void addRow(List<UsageReport.SilenceRow> rows, String server, long from, long to) {
        if (to - from >= SHORTEST_MILLIS) {
            rows.add(new UsageReport.SilenceRow(
                    server, ReportPeriod.timeText(from), ReportPeriod.timeText(to), (to - from) / 1_000));
        }
    }
}
