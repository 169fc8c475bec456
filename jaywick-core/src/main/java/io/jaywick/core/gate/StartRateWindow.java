package io.jaywick.core.gate;

import java.util.ArrayDeque;
import java.util.Iterator;

/** The calls started recently at a target, to limit the rate of starts. Not thread-safe. */
final class StartRateWindow {

    /** Longest period of a {@link StartRate} that can be enforced. */
    static final long MAX_PERIOD_NANOS = 4_000_000_000L;

    private static final double NANOS_PER_MILLI = 1_000_000;

    /** Bounds the memory; no target receives as many calls in one period. */
    private static final int MAX_STARTS = 4_096;

    private final ArrayDeque<Long> startNanos = new ArrayDeque<>();

    void recordStart(long nowNanos) {
        while (startNanos.size() >= MAX_STARTS
                || !startNanos.isEmpty() && nowNanos - startNanos.peekFirst() >= MAX_PERIOD_NANOS) {
            startNanos.removeFirst();
        }
        startNanos.addLast(nowNanos);
    }

    /**
     * Returns the milliseconds until a call can start without exceeding the given rate.
     *
     * @param ahead number of calls that start before it
     */
    double waitMillis(int ahead, StartRate rate, long nowNanos) {
        // At the full rate each call starts one period after the call that is so many calls before it.
        int starts = startNanos.size();
        long previous = (long) starts + ahead - rate.calls();
        long furtherPeriods = 0;
        if (previous >= starts) {
            furtherPeriods = (previous - starts) / rate.calls() + 1;
            previous -= furtherPeriods * rate.calls();
        }
        long waitNanos = previous < 0 ? 0 : Math.max(0, startNanosAt((int) previous) + rate.periodNanos() - nowNanos);
        return (waitNanos + furtherPeriods * rate.periodNanos()) / NANOS_PER_MILLI;
    }

    private long startNanosAt(int position) {
        Iterator<Long> newestFirst = startNanos.descendingIterator();
        for (int i = startNanos.size() - 1; i > position; i--) {
            newestFirst.next();
        }
        return newestFirst.next();
    }
}
