package io.jaywick.core.distribution;

import java.util.random.RandomGenerator;

/**
 * When a node may call the configuration service. The service bears about 2,000 calls a second over all readers, so
 * each node keeps an interval that grows with the fleet and starts at a random point of it. The bound holds whatever
 * the nodes believe of each other.
 */
public final class SourceCallPacer {

    /** Calls a second of the whole fleet, under half of what the service bears. */
    public static final int FLEET_CALLS_PER_SECOND = 925;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final long minIntervalMillis;
    private final RandomGenerator random;
    private long lastStartMillis = NEVER;

    public SourceCallPacer(long minIntervalMillis, RandomGenerator random) {
        this.minIntervalMillis = minIntervalMillis;
        this.random = random;
    }

    /** Interval between two calls of one node in a fleet of the given size. */
    public long intervalMillis(int fleetSize) {
        return Math.max(minIntervalMillis, (fleetSize * 1_000L + FLEET_CALLS_PER_SECOND - 1) / FLEET_CALLS_PER_SECOND);
    }

    /** Notes the start of a call. */
    public void recordCallStart(long nowMillis) {
        lastStartMillis = nowMillis;
    }

    /** True when the interval since the last call has passed. */
    public boolean hasIntervalElapsed(long nowMillis, int fleetSize) {
        return nowMillis - lastStartMillis >= intervalMillis(fleetSize);
    }

    /**
     * Wait before the next call. The wait is random over the interval when the interval has passed already: calls that
     * hung and failed together would otherwise start together again.
     */
    public long nextDelayMillis(long nowMillis, int fleetSize) {
        long interval = intervalMillis(fleetSize);
        long earliest = lastStartMillis + interval - nowMillis;
        return earliest > 0 ? earliest : random.nextLong(interval);
    }
}
