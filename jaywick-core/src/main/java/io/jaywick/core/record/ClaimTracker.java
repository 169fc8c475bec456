package io.jaywick.core.record;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts the starts of calls or dispatches and tracks the claims that cover them. A claim is the cumulative number
 * of starts that a record line declares as possible before the next line. It is written before the calls start, so that
 * after a crash the lost calls show as the difference between the claim and the stored counters and are never lost
 * silently. The idea is that of the crash-window section of the "Cassandra journal" page of the actor-ts persistence
 * documentation.
 *
 * <p>A start is covered only when the claim of each of the last {@code maxLostLines + 1} lines covers it. The bound on
 * lost calls therefore also holds when the last {@code maxLostLines} lines were written but never collected.
 */
final class ClaimTracker {

    /** New lines are requested when less than {@code 1 / REQUEST_MARGIN_DIVISOR} of the claim remains. */
    private static final int REQUEST_MARGIN_DIVISOR = 8;

    /**
     * The claim shrinks by at most {@code 1 / DECAY_DIVISOR} with each regular line, so that a load that varies between
     * lines needs no additional claim lines.
     */
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

    /** Reverts a start that no claim could cover. */
    void cancelStart() {
        started.decrementAndGet();
    }

    /** Returns whether the claims of all relevant lines cover the start with this number. */
    boolean covers(long number) {
        return number <= coveredStarts;
    }

    /** Returns true when the claims are nearly exhausted, once until the next line is written. */
    boolean shouldRequestLines(long number) {
        return number > requestThreshold && !linesRequested.get() && linesRequested.compareAndSet(false, true);
    }

    /**
     * Sizes the claim by the number of starts since the last regular line. At a steady load, the oldest relevant claim
     * still covers the starts of two more intervals when the next line is due; that is two thirds of the claim when no
     * lost lines are tolerated. Called with the write lock held.
     */
    void adjustClaimSize() {
        long now = started.get();
        long steady =
                Math.max((recentClaims.length + 2) * (now - startedAtLastLine), claimSize - claimSize / DECAY_DIVISOR);
        claimSize = Math.max(minClaim, Math.min(maxClaim, steady));
        startedAtLastLine = now;
    }

    /** Doubles the claim when it is nearly exhausted before the next regular line. Called with the write lock held. */
    void growIfExhausted() {
        if (started.get() > requestThreshold) {
            claimSize = Math.min(maxClaim, 2 * claimSize);
        }
    }

    /** Returns the claim for the next line. Called with the write lock held. */
    long nextClaim() {
        long claim = started.get() + claimSize;
        if (claim < coveredStarts) {
            // A start that was accepted under the higher value has already incremented the counter, so the second read
            // includes it.
            coveredStarts = claim;
            long now = started.get();
            if (now > claim) {
                claim = now + claimSize;
            }
        }
        return claim;
    }

    /** Records that a line with this claim was written. Called with the write lock held. */
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

    /** Ends the coverage of further starts and returns the number of starts so far. */
    long close() {
        coveredStarts = Long.MIN_VALUE;
        return started.get();
    }
}
