package io.jaywick.core.limits;

/**
 * Bound on the calls of an account over all nodes: in any window at most (rate x window + burst) x (1 + overshoot) +
 * slack. Divides what the bound allows beyond rate x window + burst, the excess, among the mechanisms that need it.
 *
 * @param windowMillis length of the sliding window
 */
public record QuotaBounds(long windowMillis, double overshoot, double slackCalls) {

    /** Bounds of a deployment that names none. */
    public static final QuotaBounds DEFAULTS = new QuotaBounds(5_000, 0.25, 20);

    /** Part of the excess that nodes may hold as reserves, which live for {@link #RESERVE_LIFE_MILLIS}. */
    private static final double RESERVE_PART = 0.3;

    /** Part of the excess for tokens on their way, so that they do not limit the throughput of a bucket. */
    private static final double TRANSIT_PART = 0.3;

    /**
     * Part of the excess for nodes that reach no holder. The rest covers calls that wait between their admission and
     * their target, and nodes that disagree about the number of data centres.
     */
    private static final double FALLBACK_PART = 0.2;

    /** Time within which a reserve must be spent. Longer lives keep tokens at nodes with few calls, unused. */
    static final long RESERVE_LIFE_MILLIS = 2_000;

    /** Several round trips between regions (24 ms); a shorter life would lose tokens on their way. */
    private static final long MIN_GRANT_LIFE_MILLIS = 100;

    private static final long MAX_GRANT_LIFE_MILLIS = 500;

    private static final double MILLIS_PER_SECOND = 1_000;

    public QuotaBounds {
        if (windowMillis <= 0 || !(overshoot >= 0) || !(slackCalls >= 0)) {
            throw new IllegalArgumentException("quota bounds must not be negative, and the window must be positive");
        }
    }

    private double excess(QuotaLimit limit) {
        return overshoot * (limit.callsPerSecond() * windowMillis / MILLIS_PER_SECOND + limit.burstCalls())
                + slackCalls;
    }

    /** Tokens that may exist at one time in all buckets of holders, at nodes and on their way between them. */
    double capacity(QuotaLimit limit) {
        return limit.burstCalls() + (RESERVE_PART + TRANSIT_PART) * excess(limit);
    }

    /** Tokens of the capacity that nodes may hold as reserves. */
    double reserveCapacity(QuotaLimit limit) {
        return RESERVE_PART * excess(limit);
    }

    /** Calls per second that all nodes that reach no holder may admit together. */
    double fallbackRate(QuotaLimit limit) {
        return FALLBACK_PART * overshoot * limit.callsPerSecond();
    }

    /** Tokens that nodes may keep for the time when they reach no holder, all together. */
    double fallbackCapacity(QuotaLimit limit) {
        return FALLBACK_PART * (overshoot * limit.burstCalls() + slackCalls);
    }

    /**
     * Time within which a granted token must be spent. While it lasts, the token counts in the bucket that it came
     * from; a longer life would limit a bucket of a limit without a burst to less than its rate.
     */
    long grantLifeMillis() {
        long millis = Math.round(TRANSIT_PART * overshoot * windowMillis);
        return Math.max(MIN_GRANT_LIFE_MILLIS, Math.min(MAX_GRANT_LIFE_MILLIS, millis));
    }
}
