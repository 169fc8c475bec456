package io.jaywick.core.record;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Starts of one kind and the claims that cover them. The claim follows the idea of the crash-window section of the
 * "Cassandra journal" page of the actor-ts persistence documentation: a sequence is claimed before the write, so that
 * a loss after a crash shows as a gap between the claimed head and what is stored, and is never silent.
 *
 * <p>A start is covered only when the claim of each of the last {@code lostLines + 1} lines covers it. The bound on a
 * loss therefore also holds when that many last lines were written but never collected.
 */
final class ClaimTracker {

    /** More lines are asked for when less than this part of the claim is left. */
    private static final int REQUEST_MARGIN_DIVISOR = 8;

    /** The claim falls by this part of itself with each regular line, so that an uneven load needs no extra lines. */
    private static final int DECAY_DIVISOR = 4;

    private final AtomicLong started = new AtomicLong();
    private final AtomicBoolean linesRequested = new AtomicBoolean();
    private final long minClaim;
    private final long maxClaim;
    private final long[] recentClaims;
    private volatile long coveredStarts;
    private volatile long requestThreshold;
    private int nextRecentClaim;
    private long claimSize;
    private long startedAtLastLine;

    ClaimTracker(long minClaim, long maxClaim, int maxLostLines) {
        this.minClaim = minClaim;
        this.maxClaim = maxClaim;
        this.recentClaims = new long[maxLostLines + 1];
        this.claimSize = minClaim;
    }

    /** Counts one start and returns its number, from 1. */
    long recordStart() {
        return started.incrementAndGet();
    }

    /** Takes back a start that could not be covered. */
    void cancelStart() {
        started.decrementAndGet();
    }

    boolean covers(long number) {
        return number <= coveredStarts;
    }

    /** True once for each batch of lines, when the claims are nearly used up. */
    boolean shouldRequestLines(long number) {
        return number > requestThreshold && !linesRequested.get() && linesRequested.compareAndSet(false, true);
    }

    /**
     * Sizes the claim by the starts since the last regular line: with a steady load two thirds of the oldest claim that
     * counts are left when the next line is due. Called under the writer's lock.
     */
    void adjustClaimSize() {
        long now = started.get();
        long steady =
                Math.max((recentClaims.length + 2) * (now - startedAtLastLine), claimSize - claimSize / DECAY_DIVISOR);
        claimSize = Math.max(minClaim, Math.min(maxClaim, steady));
        startedAtLastLine = now;
    }

    /** Doubles the claim when it was used up before the next regular line. Called under the writer's lock. */
    void growIfExhausted() {
        if (started.get() > requestThreshold) {
            claimSize = Math.min(maxClaim, 2 * claimSize);
        }
    }

    /** Claim for the next line. Called under the writer's lock. */
    long nextClaim() {
        long claim = started.get() + claimSize;
        if (claim < coveredStarts) {
            // Starts that saw the higher value had already raised the counter, so the second read includes them.
            coveredStarts = claim;
            long now = started.get();
            if (now > claim) {
                claim = now + claimSize;
            }
        }
        return claim;
    }

    /** The line with this claim is out. Called under the writer's lock. */
    void recordWrittenClaim(long claim) {
        recentClaims[nextRecentClaim] = claim;
        nextRecentClaim = (nextRecentClaim + 1) % recentClaims.length;
        long lowest = Long.MAX_VALUE;
        for (long earlier : recentClaims) {
            lowest = Math.min(lowest, earlier);
        }
        requestThreshold = lowest - claimSize / REQUEST_MARGIN_DIVISOR;
        coveredStarts = lowest;
        linesRequested.set(false);
    }

    /** Covers no further start and returns the number of starts so far. */
    long close() {
        coveredStarts = Long.MIN_VALUE;
        return started.get();
    }
}
