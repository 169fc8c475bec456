package io.jaywick.core.retry;

/**
 * Counts events within a sliding window, in slices of time. A slice that is partly outside the window still counts, so
 * that the sum is never too low. Not thread-safe.
 */
final class SlidingWindowCounter {

    private static final int SLICES = 20;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final long sliceNanos;
    private final long[] counts = new long[SLICES + 1];
    private long newestSlice;

    SlidingWindowCounter(long windowMillis) {
        this.sliceNanos = Math.max(1, windowMillis * NANOS_PER_MILLI / SLICES);
    }

    void add(long nowNanos) {
        advance(nowNanos);
        counts[index(newestSlice)]++;
    }

    /** Removes the newest event, if the window holds one. */
    void removeNewest(long nowNanos) {
        advance(nowNanos);
        for (long slice = newestSlice; slice >= newestSlice - SLICES; slice--) {
            if (counts[index(slice)] > 0) {
                counts[index(slice)]--;
                return;
            }
        }
    }

    long sum(long nowNanos) {
        advance(nowNanos);
        long sum = 0;
        for (long count : counts) {
            sum += count;
        }
        return sum;
    }

    private void advance(long nowNanos) {
        long slice = Math.floorDiv(nowNanos, sliceNanos);
        if (slice - newestSlice > SLICES) {
            newestSlice = slice - SLICES - 1;
        }
        while (newestSlice < slice) {
            newestSlice++;
            counts[index(newestSlice)] = 0;
        }
    }

    private int index(long slice) {
        return (int) Math.floorMod(slice, (long) counts.length);
    }
}
