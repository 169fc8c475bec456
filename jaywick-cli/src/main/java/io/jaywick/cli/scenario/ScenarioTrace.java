package io.jaywick.cli.scenario;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

import io.jaywick.cli.virtual.VirtualTime;

/** Trace of the events of a run. It is bounded; the oldest lines are dropped first. */
public final class ScenarioTrace {

    private static final int MAX_LINES = 10_000;

    private final VirtualTime time;
    private final Deque<Line> lines = new ArrayDeque<>();

    ScenarioTrace(VirtualTime time) {
        this.time = time;
    }

    /** Adds a line at the current virtual time. The server is empty for an event of the whole fleet. */
    public void add(String server, String text) {
        if (lines.size() == MAX_LINES) {
            lines.remove();
        }
        lines.add(new Line(time.nowNanos(), server.isEmpty() ? text : server + " " + text));
    }

    /** Returns the lines up to and including a virtual time, each with its time in seconds. */
    List<String> linesUntil(long nanos) {
        return lines.stream()
                .filter(line -> line.atNanos <= nanos)
                .map(line -> String.format(
                        Locale.ROOT, "%9.3f s  %s", line.atNanos / (double) TimeUnit.SECONDS.toNanos(1), line.text))
                .toList();
    }

    private record Line(long atNanos, String text) {}
}
