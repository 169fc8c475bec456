package io.jaywick.core.record;

/**
 * Bounds of a recorder.
 *
 * @param minClaim calls that an idle process claims ahead, at least 1
 * @param maxClaim calls that a process claims ahead at most
 * @param maxLostLines number of last lines that may be lost in transport before a kill while the claim of the line before
 *     them still covers every call, 0 or more
 * @param maxKeysPerHour keys counted by name in one hour; further keys share the label {@code overflow}
 * @param maxEntriesPerLine sets of counters in one line; more are spread over several lines
 * @param minCallsPerEntry calls and dispatches that have to come together for each changed set of counters before the
 *     counters are written; bounds the bytes for each call
 * @param maxLinesWithoutCounters regular lines without counters at most, however few calls there are
 * @param stripes counting stripes; as many as threads that count
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
     * Counters on every line took 1.0 GB for each node and day at the design size, nearly all of it for keys with one
     * or two calls between two lines.
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

    /** The same limits with another pace of counters. */
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

    /** Limits for a node whose settings allow a claim of this many calls. */
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
