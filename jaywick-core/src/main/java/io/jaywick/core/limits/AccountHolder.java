package io.jaywick.core.limits;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.jaywick.core.message.TokenGrant;
import io.jaywick.core.message.TokenRequest;

/**
 * The quota of one account at its holder in a data centre. Nodes get whole tokens. When tokens run short, the holder
 * borrows from the holders of the other data centres, and requests wait meanwhile. Not thread-safe.
 */
final class AccountHolder {

    /** Demand of the own data centre for which a holder keeps tokens, at most half, when another one asks. */
    private static final double KEPT_SECONDS = 0.2;

    /** Demand for which a holder borrows in advance, so that it does not ask for each call. */
    private static final double BORROWED_SECONDS = 0.15;

    /** Demand changes within seconds when an account becomes hot. */
    private static final double DEMAND_MEAN_SECONDS = 1;

    /** A node may keep at most this part of what is left as a reserve, so that no node takes all. */
    private static final double RESERVE_FRACTION = 0.25;

    /** Limits of the time for which a node refuses calls after a denial without asking again. */
    private static final long MIN_RETRY_MILLIS = 20;

    private static final long MAX_RETRY_MILLIS = 250;

    /** Time for which a holder that is short itself is not asked to lend; a hot account leaves all holders short. */
    private static final long SHORT_MILLIS = 100;

    /** Tokens that were borrowed in fractions may miss a whole one by a rounding error. */
    private static final double ROUNDING = 1e-9;

    /** Borrowed tokens with less time left would expire on their way to a node. */
    private static final long MIN_LIFE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private static final double MILLIS_PER_SECOND = 1_000;

    private final String account;
    private final QuotaBounds bounds;
    private final LongSupplier nanoTime;
    private final TokenBorrowing borrowing;
    private final TokenBucket own;
    private final LocalTokens borrowed = new LocalTokens();
    private final DecayingRate demand;
    private final Deque<Pending> pending = new ArrayDeque<>();
    private QuotaLimit limit;
    private double reserveCapacity;

    private record Pending(double tokens, double reserve, Consumer<TokenGrant> reply) {}

    /**
     * Creates the state of a holder, which has no tokens.
     *
     * @param idleMillis time for which the bucket does not fill, because an earlier holder may still grant tokens
     */
    AccountHolder(
            String account,
            QuotaBounds bounds,
            QuotaLimit limit,
            int dataCentres,
            long idleMillis,
            LongSupplier nanoTime,
            TokenBorrowing.Lenders lenders) {
        long now = nanoTime.getAsLong();
        this.account = account;
        this.bounds = bounds;
        this.nanoTime = nanoTime;
        this.limit = limit;
        double capacity = bounds.capacity(limit) / dataCentres;
        this.own = new TokenBucket(limit.callsPerSecond() / dataCentres, capacity, now);
        this.reserveCapacity = bounds.reserveCapacity(limit) / dataCentres;
        this.demand = new DecayingRate(DEMAND_MEAN_SECONDS, now);
        this.borrowing = new TokenBorrowing(account, nanoTime, lenders, this::borrowed, this::borrowingEnded);
        borrowing.setLenderTerms(limit.callsPerSecond() / dataCentres, capacity);
        own.assumeLent(reserveCapacity, TimeUnit.MILLISECONDS.toNanos(QuotaBounds.RESERVE_LIFE_MILLIS), now);
        own.assumeLent(capacity - reserveCapacity, TimeUnit.MILLISECONDS.toNanos(idleMillis), now);
    }

    /** Fills the bucket of an account that had no limit before, for which no tokens can be in use. */
    void fill() {
        own.forgetLoans();
        own.fill();
    }

    void resize(QuotaLimit newLimit, int dataCentres) {
        long now = nanoTime.getAsLong();
        if (!newLimit.equals(limit)) {
            borrowed.clear();
        }
        limit = newLimit;
        double capacity = bounds.capacity(limit) / dataCentres;
        own.resize(limit.callsPerSecond() / dataCentres, capacity, now);
        reserveCapacity = bounds.reserveCapacity(limit) / dataCentres;
        borrowing.setLenderTerms(limit.callsPerSecond() / dataCentres, capacity);
    }

    void setLenders(List<String> hosts) {
        borrowing.setHosts(hosts);
    }

    /** Answers a request of a node of the own data centre, or of one that does not reach its own holder. */
    void request(TokenRequest request, Consumer<TokenGrant> reply) {
        long now = nanoTime.getAsLong();
        demand.add(request.tokens(), now);
        own.level(now);
        own.giveBack(request.returned());
        if (available(now) >= request.tokens()) {
            reply.accept(grant(request.tokens(), request.reserve(), 0, now));
            return;
        }
        Pending waiting = new Pending(request.tokens(), request.reserve(), reply);
        pending.add(waiting);
        borrowMissing(now);
    }

    /** Answers the request of another holder, which gets what the own data centre does not need now. */
    TokenGrant lend(double tokens) {
        long now = nanoTime.getAsLong();
        if (borrowing.isShort()) {
            return new TokenGrant(account, true, 0, 0, 0, 0, SHORT_MILLIS, 0);
        }
        double level = own.level(now);
        double spare = Math.max(level / 2, level - KEPT_SECONDS * demand.perSecond(now));
        double lent = Math.min(tokens, spare);
        if (lent > 0) {
            own.lend(lent, lifeNanos(), false, now);
        }
        return new TokenGrant(account, true, lent, 0, bounds.grantLifeMillis(), 0, 0, spare - lent);
    }

    /** Refuses the waiting requests, because another node is the holder now. */
    void close() {
        while (!pending.isEmpty()) {
            pending.poll().reply.accept(notHolder(account));
        }
    }

    static TokenGrant notHolder(String account) {
        return new TokenGrant(account, false, 0, 0, 0, 0, 0, 0);
    }

    private double available(long now) {
        return borrowed.total(now) + own.level(now) + ROUNDING;
    }

    private long lifeNanos() {
        return TimeUnit.MILLISECONDS.toNanos(bounds.grantLifeMillis());
    }

    private TokenGrant grant(double tokens, double reserveWanted, long retryMillis, long now) {
        double fromBorrowed = Math.min(tokens, borrowed.total(now));
        long lifeNanos = fromBorrowed > 0
                ? Math.min(lifeNanos(), MIN_LIFE_NANOS + borrowed.take(fromBorrowed, now))
                : lifeNanos();
        double fromOwn = Math.min(tokens - fromBorrowed, own.level(now));
        if (fromOwn > 0) {
            own.lend(fromOwn, lifeNanos, false, now);
        }
        double spareReserve = Math.min(RESERVE_FRACTION * own.level(now), reserveCapacity - own.lentReserve(now));
        double reserve = Math.floor(Math.max(0, Math.min(reserveWanted, spareReserve)));
        if (reserve > 0) {
            own.lend(reserve, TimeUnit.MILLISECONDS.toNanos(QuotaBounds.RESERVE_LIFE_MILLIS), true, now);
        }
        return new TokenGrant(
                account,
                true,
                tokens,
                reserve,
                TimeUnit.NANOSECONDS.toMillis(lifeNanos),
                QuotaBounds.RESERVE_LIFE_MILLIS,
                retryMillis,
                own.level(now));
    }

    private void borrowMissing(long now) {
        double missing = pending.stream().mapToDouble(Pending::tokens).sum() - available(now);
        borrowing.start(missing, BORROWED_SECONDS * demand.perSecond(now));
    }

    private void borrowed(double tokens, long expiryNanos) {
        borrowed.add(tokens, expiryNanos - MIN_LIFE_NANOS);
        grantPending();
    }

    /** Grants the waiting requests in order as long as there are tokens for a whole one. */
    private void grantPending() {
        long now = nanoTime.getAsLong();
        while (!pending.isEmpty() && available(now) >= pending.peek().tokens) {
            Pending next = pending.poll();
            next.reply.accept(grant(next.tokens, next.reserve, 0, now));
        }
    }

    private void borrowingEnded() {
        grantPending();
        long now = nanoTime.getAsLong();
        for (Pending denied : new ArrayList<>(pending)) {
            pending.remove(denied);
            double part = Math.min(denied.tokens, Math.floor(available(now)));
            denied.reply.accept(grant(part, 0, part < denied.tokens ? retryMillis(denied.tokens - part, now) : 0, now));
        }
    }

    /** Returns the time until tokens are expected, longer the more nodes compete for them. */
    private long retryMillis(double missing, long now) {
        double overload = Math.max(1, demand.perSecond(now) / own.tokensPerSecond());
        long millis = Math.round(MILLIS_PER_SECOND * missing / limit.callsPerSecond() * overload * overload);
        return Math.max(MIN_RETRY_MILLIS, Math.min(MAX_RETRY_MILLIS, millis));
    }
}
