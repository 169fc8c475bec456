package io.jaywick.core.limits;

import java.util.Arrays;

/**
 * Counts events over a sliding window that may start at any time, in fixed memory. An event is removed only when the
 * whole window has passed since the end of its bucket, so that the count is never too small; it is too large by at most
 * the events of one bucket. Not thread-safe.
 */
public final class WindowCounter {

    private final int[] counts;
    private final int buckets;
    private long bucketNanos;
    private long newestBucket = Long.MIN_VALUE;
    private long total;

    /**
     * Creates a counter with an empty window.
     *
     * @param buckets number of buckets in the window; the count includes events that are older by up to one bucket
     */
    public WindowCounter(long windowNanos, int buckets) {
        this.buckets = buckets;
        this.counts = new int[buckets + 1];
        this.bucketNanos = bucketNanos(windowNanos, buckets);
    }

    public void add(long nowNanos) {
        advanceTo(nowNanos);
        counts[bucketIndex(newestBucket)]++;
        total++;
    }

    /** Returns the events within the window that ends now. */
    public long count(long nowNanos) {
        advanceTo(nowNanos);
        return total;
    }

    /**
     * Changes the length of the window. The events of the old window count as if they had happened now, because their
     * buckets do not fit the new length.
     */
    public void resize(long windowNanos, long nowNanos) {
        long width = bucketNanos(windowNanos, buckets);
        if (width == bucketNanos) {
            return;
        }
        long carriedOver = count(nowNanos);
        Arrays.fill(counts, 0);
        bucketNanos = width;
        newestBucket = Math.floorDiv(nowNanos, width);
        total = carriedOver;
        counts[bucketIndex(newestBucket)] = (int) carriedOver;
    }

    private void advanceTo(long nowNanos) {
        long current = Math.floorDiv(nowNanos, bucketNanos);
        if (newestBucket == Long.MIN_VALUE) {
            newestBucket = current;
        }
        if (current - newestBucket > buckets) {
            Arrays.fill(counts, 0);
            total = 0;
            newestBucket = current;
        }
        while (newestBucket < current) {
            newestBucket++;
            total -= counts[bucketIndex(newestBucket)];
            counts[bucketIndex(newestBucket)] = 0;
        }
    }

    private int bucketIndex(long bucket) {
        return (int) Math.floorMod(bucket, (long) counts.length);
    }

    private static long bucketNanos(long windowNanos, int buckets) {
        return Math.max(1, (windowNanos + buckets - 1) / buckets);
    }
}
