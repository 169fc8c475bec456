package io.jaywick.core.record;

/**
 * Bounds of a recorder.
 *
 * @param smallestClaim calls that an idle process claims ahead, at least 1
 * @param largestClaim calls that a process claims ahead at most
 * @param lostLines number of last lines that may be lost in transport before a kill while the claim of the line before
 *     them still covers every call, 0 or more
 * @param maxKeysPerHour keys counted by name in one hour; further keys share the label {@code overflow}
 * @param maxEntriesPerLine sets of counters in one line; more are spread over several lines
 * @param stripes counting stripes; as many as threads that count
 */
public record RecorderLimits(
        long smallestClaim, long largestClaim, int lostLines, int maxKeysPerHour, int maxEntriesPerLine, int stripes) {

    private static final long SMALLEST_CLAIM = 64;
    private static final int LOST_LINES = 2;
    private static final int MAX_KEYS_PER_HOUR = 4_096;
    private static final int MAX_ENTRIES_PER_LINE = 256;
    private static final int STRIPES = 16;

    public RecorderLimits {
        if (smallestClaim < 1
                || largestClaim < smallestClaim
                || lostLines < 0
                || maxKeysPerHour < 1
                || maxEntriesPerLine < 1
                || stripes < 1) {
            throw new IllegalArgumentException("recorder limits out of range");
        }
    }

    /** Limits for a node whose settings allow a claim of this many calls. */
    public static RecorderLimits forLargestClaim(long largestClaim) {
        return new RecorderLimits(
                Math.min(SMALLEST_CLAIM, largestClaim),
                largestClaim,
                LOST_LINES,
                MAX_KEYS_PER_HOUR,
                MAX_ENTRIES_PER_LINE,
                STRIPES);
    }
}
