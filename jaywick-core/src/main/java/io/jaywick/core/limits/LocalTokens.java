package io.jaywick.core.limits;

import java.util.PriorityQueue;

/** Tokens with expiry times. Those that expire first are spent first. Not thread-safe. */
final class LocalTokens {

    private final PriorityQueue<Batch> batches =
            new PriorityQueue<>((first, second) -> Long.signum(first.expiryNanos - second.expiryNanos));

    private static final class Batch {
        private final long expiryNanos;
        private double tokens;

        Batch(long expiryNanos, double tokens) {
            this.expiryNanos = expiryNanos;
            this.tokens = tokens;
        }
    }

    void add(double tokens, long expiryNanos) {
        if (tokens > 0) {
            batches.add(new Batch(expiryNanos, tokens));
        }
    }

    double total(long nowNanos) {
        removeExpired(nowNanos);
        double sum = 0;
        for (Batch batch : batches) {
            sum += batch.tokens;
        }
        return sum;
    }

    /** Takes one token; returns false, and takes none, if there is no whole one. */
    boolean tryTakeOne(long nowNanos) {
        if (total(nowNanos) < 1) {
            return false;
        }
        take(1, nowNanos);
        return true;
    }

    /**
     * Takes up to the given number of tokens.
     *
     * @return the remaining life of the first one that expires; {@code Long.MAX_VALUE} when there are none
     */
    long take(double tokens, long nowNanos) {
        removeExpired(nowNanos);
        Batch first = batches.peek();
        long lifeNanos = first == null || tokens <= 0 ? Long.MAX_VALUE : first.expiryNanos - nowNanos;
        double missing = tokens;
        while (first != null && missing > 0) {
            double taken = Math.min(missing, first.tokens);
            first.tokens -= taken;
            missing -= taken;
            if (first.tokens <= 0) {
                batches.poll();
            }
            first = batches.peek();
        }
        return lifeNanos;
    }

    void clear() {
        batches.clear();
    }

    private void removeExpired(long nowNanos) {
        while (!batches.isEmpty() && batches.peek().expiryNanos - nowNanos <= 0) {
            batches.poll();
        }
    }
}
