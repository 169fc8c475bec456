package io.jaywick.core.gate;

import java.util.ArrayDeque;

/** Calls of the last second that were sent to a target, against what a cold target bears. Not thread-safe. */
final class ColdBudget {

    private static final long WINDOW_NANOS = 1_000_000_000;

    /** Memory bound; no target gets as many calls in one second. */
    private static final int MAX_STARTS = 4_096;

    private final ArrayDeque<Long> startNanos = new ArrayDeque<>();

    void started(long nowNanos) {
        if (startNanos.size() >= MAX_STARTS) {
            startNanos.removeFirst();
        }
        startNanos.addLast(nowNanos);
    }

    int startsOfLastSecond(long nowNanos) {
        while (!startNanos.isEmpty() && nowNanos - startNanos.peekFirst() >= WINDOW_NANOS) {
            startNanos.removeFirst();
        }
        return startNanos.size();
    }
}
