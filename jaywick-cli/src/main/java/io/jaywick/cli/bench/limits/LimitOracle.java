package io.jaywick.cli.bench.limits;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Checks the limit of one party against the true times of its admitted calls. While an edit propagates, the largest of
 * the old and new limits applies to windows of the shortest of their lengths. A window that begins after the edit has
 * settled must comply with the new limit.
 */
public final class LimitOracle {

    private final List<LimitVersion> limitVersions = new ArrayList<>();
    private long[] admittedNanos = new long[1 << 12];
    private int callCount;

    public void recordAdmitted(long trueNanos) {
        if (callCount == admittedNanos.length) {
            admittedNanos = Arrays.copyOf(admittedNanos, 2 * callCount);
        }
        admittedNanos[callCount++] = trueNanos;
    }

    /** Records that a limit was published. */
    public void recordPublished(int limitCalls, long windowMillis, long trueNanos) {
        limitVersions.add(new LimitVersion(limitCalls, TimeUnit.MILLISECONDS.toNanos(windowMillis), trueNanos));
        if (limitVersions.size() == 1) {
            recordSettled(Long.MIN_VALUE);
        }
    }

    /** Records that every server has activated the newest limit and that all grants under earlier limits have expired. */
    public void recordSettled(long trueNanos) {
        limitVersions.get(limitVersions.size() - 1).settledNanos = trueNanos;
    }

    /** Returns the number of calls admitted after one instant and up to and including another. */
    public long countCalls(long afterNanos, long untilNanos) {
        long count = 0;
        for (int i = 0; i < callCount; i++) {
            if (admittedNanos[i] > afterNanos && admittedNanos[i] <= untilNanos) {
                count++;
            }
        }
        return count;
    }

    /** Returns the calls admitted between two instants as a fraction of those that the published limits allow. */
    public double usableShare(long fromNanos, long toNanos) {
        double allowed = 0;
        for (int i = 0; i < limitVersions.size(); i++) {
            long begin = Math.max(fromNanos, limitVersions.get(i).publishedNanos);
            long end = Math.min(
                    toNanos, i + 1 < limitVersions.size() ? limitVersions.get(i + 1).publishedNanos : Long.MAX_VALUE);
            if (end > begin) {
                allowed += (double) limitVersions.get(i).limitCalls * (end - begin) / limitVersions.get(i).windowNanos;
            }
        }
        return countCalls(fromNanos, toNanos) / allowed;
    }

    /** Returns the window that exceeds its limit the most; {@code overCalls} is zero or less if none does. */
    public Excess worstExcess() {
        long[] times = Arrays.copyOf(admittedNanos, callCount);
        Arrays.sort(times);
        Excess worst = new Excess(Integer.MIN_VALUE, 0, 0, 0);
        int[] starts = new int[limitVersions.size()];
        for (int end = 0; end < times.length; end++) {
            long windowNanos = Long.MAX_VALUE;
            int limit = 0;
            int newest = newestPublishedAt(times[end]);
            int shortest = newest;
            for (int i = newest; i >= 0; i--) {
                LimitVersion version = limitVersions.get(i);
                limit = Math.max(limit, version.limitCalls);
                if (version.windowNanos < windowNanos) {
                    windowNanos = version.windowNanos;
                    shortest = i;
                }
                if (times[end] - version.windowNanos >= version.settledNanos) {
                    break;
                }
            }
            // Windows of the same length only move forward, so the start index is kept for each length.
            while (times[starts[shortest]] <= times[end] - windowNanos) {
                starts[shortest]++;
            }
            int inWindow = end - starts[shortest] + 1;
            if (inWindow - limit > worst.overCalls) {
                worst = new Excess(inWindow - limit, inWindow, limit, times[end]);
            }
        }
        return worst;
    }

    private int newestPublishedAt(long trueNanos) {
        int newest = 0;
        for (int i = 1; i < limitVersions.size(); i++) {
            if (limitVersions.get(i).publishedNanos <= trueNanos) {
                newest = i;
            }
        }
        return newest;
    }

    /**
     * A window compared with its limit.
     *
     * @param overCalls calls beyond the limit; negative if the window has fewer calls than the limit
     * @param endNanos true time of the last call of the window
     */
    public record Excess(int overCalls, int calls, int limitCalls, long endNanos) {}

    private static final class LimitVersion {

        private final int limitCalls;
        private final long windowNanos;
        private final long publishedNanos;
        private long settledNanos = Long.MAX_VALUE;

        private LimitVersion(int limitCalls, long windowNanos, long publishedNanos) {
            this.limitCalls = limitCalls;
            this.windowNanos = windowNanos;
            this.publishedNanos = publishedNanos;
        }
    }
}
