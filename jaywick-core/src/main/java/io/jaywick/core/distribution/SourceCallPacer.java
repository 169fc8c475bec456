package io.jaywick.core.distribution;

import java.util.random.RandomGenerator;

/**
 * Paces the calls of a node to the configuration service. The service handles about 2,000 calls per second of all
 * readers together, so each node keeps an interval between its calls that grows with the fleet, and starts at a random
 * point of the interval. The bound does not depend on the nodes' views of each other.
 */
public final class SourceCallPacer {

    /** Maximum calls per second of the whole fleet; less than half of what the service handles. */
    public static final int FLEET_CALLS_PER_SECOND = 925;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final long minIntervalMillis;
    private final RandomGenerator random;
    private long lastStartMillis = NEVER;

    public SourceCallPacer(long minIntervalMillis, RandomGenerator random) {
        this.minIntervalMillis = minIntervalMillis;
        this.random = random;
    }

    /** Returns the minimum interval between two calls of one node in a fleet of the given size, in milliseconds. */
    public long intervalMillis(int fleetSize) {
        return Math.max(minIntervalMillis, (fleetSize * 1_000L + FLEET_CALLS_PER_SECOND - 1) / FLEET_CALLS_PER_SECOND);
    }

    /** Records the start of a call, from which the interval to the next call is measured. */
    public void recordCallStart(long nowMillis) {
        lastStartMillis = nowMillis;
    }

    /** Returns whether the interval since the start of the last call has elapsed. */
    public boolean hasIntervalElapsed(long nowMillis, int fleetSize) {
        return nowMillis - lastStartMillis >= intervalMillis(fleetSize);
    }

    /**
     * Returns the delay before the next call in milliseconds. When the interval has already elapsed, the delay is
     * random within one interval: calls that hung and failed together would otherwise start together again.
     */
    public long nextDelayMillis(long nowMillis, int fleetSize) {
        long interval = intervalMillis(fleetSize);
        long earliest = lastStartMillis + interval - nowMillis;
        return earliest > 0 ? earliest : random.nextLong(interval);
    }
}
