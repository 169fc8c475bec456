package io.jaywick.core.gate;

/**
 * Limit on the starts of calls: at most so many in any period.
 *
 * @param calls at least 1
 * @param periodNanos length of the period
 */
record StartRate(int calls, long periodNanos) {

    private static final double NANOS_PER_SECOND = 1_000_000_000;

    /** Returns the limit that allows no more than the given rate in any second; at least one call. */
    static StartRate inAnySecond(double callsPerSecond) {
        return new StartRate((int) Math.max(1, callsPerSecond), (long) NANOS_PER_SECOND);
    }

    /**
     * Returns the limit that allows the given rate on average, and in any second no more than the rate rounded up.
     *
     * @param callsPerSecond greater than 0
     */
    static StartRate onAverage(double callsPerSecond) {
        int calls = (int) Math.ceil(callsPerSecond);
        return new StartRate(calls, (long) Math.ceil(calls / callsPerSecond * NANOS_PER_SECOND));
    }
}
