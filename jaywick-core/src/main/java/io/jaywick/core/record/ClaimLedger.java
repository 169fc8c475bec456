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
final class ClaimLedger {

    /** More lines are asked for when less than this part of the claim is left. */
    private static final int EARLY_PART = 8;

    /** The claim falls by this part of itself with each regular line, so that an uneven load needs no extra lines. */
    private static final int DECAY_PART = 4;

    private final AtomicLong started = new AtomicLong();
    private final AtomicBoolean wanted = new AtomicBoolean();
    private final long smallest;
    private final long largest;
    private final long[] written;
    private volatile long covered;
    private volatile long early;
    private int nextWritten;
    private long ahead;
    private long startedAtLine;

    ClaimLedger(long smallest, long largest, int lostLines) {
        this.smallest = smallest;
        this.largest = largest;
        this.written = new long[lostLines + 1];
        this.ahead = smallest;
    }

    /** Counts one start and returns its number, from 1. */
    long start() {
        return started.incrementAndGet();
    }

    /** Takes back a start that could not be covered. */
    void cancel() {
        started.decrementAndGet();
    }

    boolean covers(long number) {
        return number <= covered;
    }

    /** True once for each batch of lines, when the claims are nearly used up. */
    boolean wantsLines(long number) {
        return number > early && !wanted.get() && wanted.compareAndSet(false, true);
    }

    /**
     * Sizes the claim by the starts since the last regular line: with a steady load two thirds of the oldest claim that
     * counts are left when the next line is due. Called under the writer's lock.
     */
    void adaptToInterval() {
        long now = started.get();
        long steady = Math.max((written.length + 2) * (now - startedAtLine), ahead - ahead / DECAY_PART);
        ahead = Math.max(smallest, Math.min(largest, steady));
        startedAtLine = now;
    }

    /** Doubles the claim when it was used up before the next regular line. Called under the writer's lock. */
    void growIfUsedUp() {
        if (started.get() > early) {
            ahead = Math.min(largest, 2 * ahead);
        }
    }

    /** Claim for the next line. Called under the writer's lock. */
    long propose() {
        long claim = started.get() + ahead;
        if (claim < covered) {
            // Starts that saw the higher value had already raised the counter, so the second read includes them.
            covered = claim;
            long now = started.get();
            if (now > claim) {
                claim = now + ahead;
            }
        }
        return claim;
    }

    /** The line with this claim is out. Called under the writer's lock. */
    void raise(long claim) {
        written[nextWritten] = claim;
        nextWritten = (nextWritten + 1) % written.length;
        long lowest = Long.MAX_VALUE;
        for (long earlier : written) {
            lowest = Math.min(lowest, earlier);
        }
        early = lowest - ahead / EARLY_PART;
        covered = lowest;
        wanted.set(false);
    }

    /** Covers no further start and returns the number of starts so far. */
    long seal() {
        covered = Long.MIN_VALUE;
        return started.get();
    }
}
