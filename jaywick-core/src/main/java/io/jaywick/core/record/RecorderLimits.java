package io.jaywick.core.record;

/**
 * Limits of a {@link UsageRecorder}.
 *
 * @param minClaim calls that an idle process claims in advance, at least 1
 * @param maxClaim maximum number of calls that a process claims in advance
 * @param maxLostLines number of last lines that may be lost in transport when the process is killed; the claim of the
 *     line before them still covers every call; 0 or more
 * @param maxKeysPerHour keys counted by name in one hour; further keys are counted under the label {@code overflow}
 * @param maxEntriesPerLine maximum number of entries in one line; more are split over several lines
 * @param minCallsPerEntry average number of calls and dispatches for each changed entry from which counters are
 *     written; bounds the bytes written for each call
 * @param maxLinesWithoutCounters maximum number of consecutive regular lines without counters at a low call rate
 * @param stripes number of counting stripes; should equal the number of counting threads
 */
public record RecorderLimits(
        long minClaim,
        long maxClaim,
        int maxLostLines,
        int maxKeysPerHour,
        int maxEntriesPerLine,
        int minCallsPerEntry,
        int maxLinesWithoutCounters,
        int stripes) {

    private static final long MIN_CLAIM = 64;
    private static final int MAX_LOST_LINES = 2;
    private static final int MAX_KEYS_PER_HOUR = 4_096;
    private static final int MAX_ENTRIES_PER_LINE = 512;
    /**
     * Writing the counters on every line takes 1.0 GB for each node and day at the design size, nearly all of it for
     * keys with one or two calls between two lines.
     */
    private static final int MIN_CALLS_PER_ENTRY = 8;

    private static final int MAX_LINES_WITHOUT_COUNTERS = 5;
    private static final int STRIPES = 16;

    public RecorderLimits {
        if (minClaim < 1
                || maxClaim < minClaim
                || maxLostLines < 0
                || maxKeysPerHour < 1
                || maxEntriesPerLine < 1
                || minCallsPerEntry < 0
                || maxLinesWithoutCounters < 0
                || stripes < 1) {
            throw new IllegalArgumentException("recorder limits out of range");
        }
    }

    /** Returns the same limits with another write interval of counters. */
    public RecorderLimits withCounterInterval(int newMinCallsPerEntry, int newMaxLinesWithoutCounters) {
        return new RecorderLimits(
                minClaim,
                maxClaim,
                maxLostLines,
                maxKeysPerHour,
                maxEntriesPerLine,
                newMinCallsPerEntry,
                newMaxLinesWithoutCounters,
                stripes);
    }

    /** Returns the default limits with the given maximum claim. */
    public static RecorderLimits forMaxClaim(long maxClaim) {
        return new RecorderLimits(
                Math.min(MIN_CLAIM, maxClaim),
                maxClaim,
                MAX_LOST_LINES,
                MAX_KEYS_PER_HOUR,
                MAX_ENTRIES_PER_LINE,
                MIN_CALLS_PER_ENTRY,
                MAX_LINES_WITHOUT_COUNTERS,
                STRIPES);
    }
}
