package io.jaywick.core.limits;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.jaywick.core.message.TokenGrant;
import io.jaywick.core.message.TokenRequest;

/**
 * Borrows tokens of one account from the holders of other data centres. A round asks those that probably have the most,
 * and if that was not enough, all others together. Not thread-safe.
 */
final class TokenBorrowing {

    /** The holders of other data centres. */
    interface Lenders {

        /** Returns those that are expected to answer. */
        List<String> reachable(List<String> hosts);

        /** Sends a request to one; the answer is null when there is none in time. */
        void request(String host, TokenRequest request, Answer answer);
    }

    interface Answer {
        void accept(TokenGrant grant);
    }

    interface Borrower {
        void borrowed(double tokens, long expiryNanos);
    }

    /** Limits of the pause after a round that brought too little; it doubles from round to round. */
    private static final long MIN_PAUSE_MILLIS = 25;

    private static final long MAX_PAUSE_MILLIS = 250;

    /** A holder that is expected to have less is not asked. */
    private static final double MIN_EXPECTED_TOKENS = 0.05;

    private static final double NANOS_PER_SECOND = 1e9;

    private final String account;
    private final LongSupplier nanoTime;
    private final Lenders lenders;
    private final Borrower borrower;
    private final Runnable onEnd;
    private final Map<String, Estimate> estimates = new HashMap<>();
    private List<String> hosts = List.of();
    private double lenderTokensPerSecond;
    private double lenderCapacity;
    private Round round;
    private long pauseMillis;
    private long pausedUntilNanos;
    private boolean paused;

    /** Tokens that a holder could lend at a time, which is in the future if it was short itself. */
    private record Estimate(double tokens, long atNanos) {}

    private static final class Round {
        private final List<String> asked = new ArrayList<>();
        private double missing;
        private double advance;
        private int open;
        private boolean last;
    }

    TokenBorrowing(String account, LongSupplier nanoTime, Lenders lenders, Borrower borrower, Runnable onEnd) {
        this.account = account;
        this.nanoTime = nanoTime;
        this.lenders = lenders;
        this.borrower = borrower;
        this.onEnd = onEnd;
    }

    /** Sets rate and capacity of the buckets of other holders, from which their levels are estimated. */
    void setLenderTerms(double tokensPerSecond, double capacity) {
        lenderTokensPerSecond = tokensPerSecond;
        lenderCapacity = capacity;
    }

    void setHosts(List<String> newHosts) {
        hosts = List.copyOf(newHosts);
        estimates.keySet().retainAll(newHosts);
    }

    /**
     * Starts a round, or adds to the running one.
     *
     * @param missing tokens for requests that wait
     * @param advance further tokens that will be needed soon
     */
    void start(double missing, double advance) {
        if (round != null) {
            round.missing = Math.max(round.missing, missing);
            return;
        }
        long now = nanoTime.getAsLong();
        if (isPaused(now) || expectedOfAll(now) < missing) {
            onEnd.run();
            return;
        }
        round = new Round();
        round.missing = missing;
        round.advance = advance;
        ask();
    }

    /** Whether requests wait for borrowed tokens, or too few were lent in the last round. */
    boolean isShort() {
        return round != null || isPaused(nanoTime.getAsLong());
    }

    private boolean isPaused(long now) {
        return paused && pausedUntilNanos - now > 0;
    }

    private void ask() {
        Round current = round;
        long now = nanoTime.getAsLong();
        List<String> candidates = new ArrayList<>(lenders.reachable(hosts));
        candidates.removeAll(current.asked);
        candidates.removeIf(host -> expected(host, now) < MIN_EXPECTED_TOKENS);
        candidates.sort(Comparator.comparingDouble(host -> -expected(host, now)));
        double wanted = current.missing + current.advance;
        // One more request than are sent stays open, so that answers that come at once do not end the stage.
        current.open = 1;
        for (String host : candidates) {
            if (wanted <= 0) {
                break;
            }
            double tokens = Math.min(wanted, Math.max(1, expected(host, now)));
            wanted -= current.last ? 0 : tokens;
            current.asked.add(host);
            current.open++;
            lenders.request(
                    host, new TokenRequest(account, tokens, 0, 0, true), grant -> answered(current, host, now, grant));
        }
        stageAnswered(current);
    }

    private double expectedOfAll(long now) {
        return hosts.stream().mapToDouble(host -> expected(host, now)).sum();
    }

    private double expected(String host, long now) {
        Estimate estimate = estimates.get(host);
        if (estimate == null) {
            return lenderCapacity;
        }
        double filled = lenderTokensPerSecond * (now - estimate.atNanos) / NANOS_PER_SECOND;
        return Math.max(0, Math.min(lenderCapacity, estimate.tokens + filled));
    }

    private void answered(Round asked, String host, long sentNanos, TokenGrant grant) {
        long now = nanoTime.getAsLong();
        if (grant == null || !grant.holder()) {
            estimates.put(host, new Estimate(0, now));
        } else {
            long expectedNanos = now + TimeUnit.MILLISECONDS.toNanos(grant.retryMillis());
            estimates.put(host, new Estimate(grant.left(), expectedNanos));
            asked.missing -= grant.tokens();
            borrower.borrowed(grant.tokens(), sentNanos + TimeUnit.MILLISECONDS.toNanos(grant.lifeMillis()));
        }
        stageAnswered(asked);
    }

    private void stageAnswered(Round answered) {
        answered.open--;
        if (answered.open > 0) {
            return;
        }
        if (answered.missing > 0 && !answered.last) {
            answered.last = true;
            ask();
            return;
        }
        round = null;
        paused = answered.missing > 0;
        pauseMillis = paused ? Math.max(MIN_PAUSE_MILLIS, Math.min(MAX_PAUSE_MILLIS, 2 * pauseMillis)) : 0;
        pausedUntilNanos = nanoTime.getAsLong() + TimeUnit.MILLISECONDS.toNanos(pauseMillis);
        onEnd.run();
    }
}
