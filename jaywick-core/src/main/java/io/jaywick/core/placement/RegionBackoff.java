package io.jaywick.core.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Other regions that lately had no room for calls of one route to a service. Each offer to one costs bytes between
 * regions, so a region that refused is left out for a time, which doubles while it goes on refusing. Not thread-safe.
 */
final class RegionBackoff {

    /** About the time in which a slot comes free at a busy service; shorter calls fit at home again by then. */
    private static final long INITIAL_BACKOFF_MILLIS = 150;

    /** A region that has room again gets calls within this time. */
    private static final long MAX_BACKOFF_MILLIS = 1_200;

    /** Part of the time that is drawn, so that nodes do not ask together. */
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
            // Answers to offers that were made together count once.
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
        Backoff backoff = backoffs.get(new Key(region, service, route));
        return backoff != null && nowNanos - backoff.untilNanos < 0;
    }
}
