package io.jaywick.core.limits;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Token bucket whose lent tokens count against its capacity until their life has ended, whether or not they were spent.
 * The tokens of the bucket and the unspent ones that it has lent are therefore never more than its capacity, and the
 * calls that it admits in any time are at most the capacity plus what fills in that time. Not thread-safe.
 */
final class TokenBucket {

    private static final double NANOS_PER_SECOND = 1e9;

    private final PriorityQueue<Loan> loans = new PriorityQueue<>(Comparator.comparingLong(Loan::expiryNanos));
    private double tokensPerNano;
    private double capacity;
    private double level;
    private double lent;
    private double lentReserve;
    private long filledNanos;

    private record Loan(long expiryNanos, double tokens, boolean reserve) {}

    /** Creates an empty bucket, which fills from now on. */
    TokenBucket(double tokensPerSecond, double capacity, long nowNanos) {
        this.tokensPerNano = tokensPerSecond / NANOS_PER_SECOND;
        this.capacity = capacity;
        this.filledNanos = nowNanos;
    }

    /** Fills the bucket, as far as its capacity allows. */
    void fill() {
        giveBack(capacity);
    }

    /** Changes rate and capacity. With a lower capacity the level and the tokens lent count in proportion. */
    void resize(double tokensPerSecond, double newCapacity, long nowNanos) {
        advance(nowNanos);
        if (newCapacity < capacity) {
            scaleLoans(newCapacity / capacity);
            level = Math.min(level, Math.max(0, newCapacity - lent));
        }
        tokensPerNano = tokensPerSecond / NANOS_PER_SECOND;
        capacity = newCapacity;
    }

    private void scaleLoans(double factor) {
        List<Loan> former = new ArrayList<>(loans);
        loans.clear();
        lent = 0;
        lentReserve = 0;
        former.forEach(loan -> addLoan(new Loan(loan.expiryNanos, loan.tokens * factor, loan.reserve)));
    }

    private void addLoan(Loan loan) {
        loans.add(loan);
        lent += loan.tokens;
        lentReserve += loan.reserve ? loan.tokens : 0;
    }

    double tokensPerSecond() {
        return tokensPerNano * NANOS_PER_SECOND;
    }

    double level(long nowNanos) {
        advance(nowNanos);
        return level;
    }

    /** Tokens that were lent as reserves and may still be unspent. */
    double lentReserve(long nowNanos) {
        advance(nowNanos);
        return lentReserve;
    }

    /** Takes tokens for a call that is admitted now. Returns false, and takes none, if there are too few. */
    boolean tryTake(double tokens, long nowNanos) {
        advance(nowNanos);
        if (level < tokens) {
            return false;
        }
        level -= tokens;
        return true;
    }

    /** Lends tokens, at most the level. */
    void lend(double tokens, long lifeNanos, boolean reserve, long nowNanos) {
        level = Math.max(0, level - tokens);
        addLoan(new Loan(nowNanos + lifeNanos, tokens, reserve));
    }

    /** Counts tokens as lent that an earlier holder may have lent. */
    void assumeLent(double tokens, long lifeNanos, long nowNanos) {
        addLoan(new Loan(nowNanos + lifeNanos, tokens, true));
    }

    /** Counts no tokens as lent. */
    void forgetLoans() {
        loans.clear();
        lent = 0;
        lentReserve = 0;
    }

    /** Adds tokens, as far as the capacity allows. */
    void giveBack(double tokens) {
        level += Math.max(0, Math.min(tokens, capacity - lent - level));
    }

    private void advance(long nowNanos) {
        Loan next = loans.peek();
        while (next != null && next.expiryNanos - nowNanos <= 0) {
            fillUntil(next.expiryNanos);
            loans.poll();
            lent -= next.tokens;
            lentReserve -= next.reserve ? next.tokens : 0;
            next = loans.peek();
        }
        if (next == null) {
            // Removes what rounding has left.
            lent = 0;
            lentReserve = 0;
        }
        fillUntil(nowNanos);
    }

    private void fillUntil(long nanos) {
        if (nanos - filledNanos > 0) {
            giveBack(tokensPerNano * (nanos - filledNanos));
            filledNanos = nanos;
        }
    }
}
