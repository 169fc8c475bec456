package io.jaywick.core.gate;

import java.util.ArrayDeque;
import java.util.Iterator;

/**
 * Sliding window of the calls started at a target in the last second, to limit the rate of a cold one. Not thread-safe.
 */
final class StartRateWindow {

    private static final long WINDOW_NANOS = 1_000_000_000;
    private static final double NANOS_PER_MILLI = 1_000_000;

    /** Bounds the memory; no target receives as many calls in one second. */
    private static final int MAX_STARTS = 4_096;

    private final ArrayDeque<Long> startNanos = new ArrayDeque<>();

    void recordStart(long nowNanos) {
        if (startNanos.size() >= MAX_STARTS) {
            startNanos.removeFirst();
        }
        startNanos.addLast(nowNanos);
    }

    /**
     * Returns the milliseconds until a call can start without exceeding the given rate.
     *
     * @param ahead number of calls that start before it
     */
    double waitMillis(int ahead, double callsPerSecond, long nowNanos) {
        int perSecond = (int) Math.max(1, callsPerSecond);
        int starts = startsInWindow(nowNanos);
        int excess = Math.min(starts, perSecond) + ahead + 1 - perSecond;
        if (excess <= 0) {
            return 0;
        }
        // At the full rate each call starts one second after the call that held its position in the window.
        int position = Math.max(0, starts - perSecond) + (excess - 1) % perSecond;
        long seconds = 1 + (excess - 1) / perSecond;
        long previousNanos = position < starts ? startNanosAt(position) : nowNanos;
        return (previousNanos + seconds * WINDOW_NANOS - nowNanos) / NANOS_PER_MILLI;
    }

    private long startNanosAt(int position) {
        Iterator<Long> oldestFirst = startNanos.iterator();
        for (int i = 0; i < position; i++) {
            oldestFirst.next();
        }
        return oldestFirst.next();
    }

    int startsInWindow(long nowNanos) {
        while (!startNanos.isEmpty() && nowNanos - startNanos.peekFirst() >= WINDOW_NANOS) {
            startNanos.removeFirst();
        }
        return startNanos.size();
    }
}
