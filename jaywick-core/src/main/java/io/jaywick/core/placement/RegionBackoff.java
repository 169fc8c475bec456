package io.jaywick.core.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Exponential back-off from other regions that recently refused calls of a route to a service because they were at
 * capacity. Each attempt in another region costs paid traffic between regions, so a region that refused is skipped for
 * a time that doubles with each further refusal. Not thread-safe.
 */
final class RegionBackoff {

    /**
     * About the time until a slot becomes free at a busy service; the local region accepts shorter calls again by then.
     */
    private static final long INITIAL_BACKOFF_MILLIS = 150;

    /** A region that has capacity again receives calls within this time. */
    private static final long MAX_BACKOFF_MILLIS = 1_200;

    /** Randomised fraction of the back-off, so that the nodes do not return to a region at the same time. */
    private static final double JITTER_FRACTION = 0.5;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final RandomGenerator random;
    private final Map<Key, Backoff> backoffs = new HashMap<>();

    private record Key(String region, String service, String route) {}

    private static final class Backoff {
        private int refusals;
        private long untilNanos;
    }

    RegionBackoff(RandomGenerator random) {
        this.random = random;
    }

    void recordRefusal(String region, String service, String route, long nowNanos) {
        Backoff backoff = backoffs.computeIfAbsent(new Key(region, service, route), key -> new Backoff());
        if (backoff.refusals > 0 && nowNanos - backoff.untilNanos < 0) {
            // Refusals of concurrent attempts count once.
            return;
        }
        long millis = Math.min(MAX_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS << Math.min(backoff.refusals, 10));
        backoff.refusals++;
        backoff.untilNanos = nowNanos + (long) (millis * (1 - JITTER_FRACTION * random.nextDouble()) * NANOS_PER_MILLI);
    }

    void reset(String region, String service, String route) {
        backoffs.remove(new Key(region, service, route));
    }

    boolean isBackingOff(String region, String service, String route, long nowNanos) {
        return remainingNanos(region, service, route, nowNanos) > 0;
    }

    /** Returns the nanoseconds for which the region is still skipped, 0 when it is not. */
    long remainingNanos(String region, String service, String route, long nowNanos) {
        Backoff backoff = backoffs.get(new Key(region, service, route));
        return backoff == null ? 0 : Math.max(0, backoff.untilNanos - nowNanos);
    }
}
