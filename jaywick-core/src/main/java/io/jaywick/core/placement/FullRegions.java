package io.jaywick.core.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Other regions that lately had no room for calls of one route to a service. Each offer to one costs bytes between
 * regions, so a region that refused is left out for a time, which doubles while it goes on refusing. Not thread-safe.
 */
final class FullRegions {

    /** About the time in which a slot comes free at a busy service; shorter calls fit at home again by then. */
    private static final long FIRST_MILLIS = 150;

    /** A region that has room again gets calls within this time. */
    private static final long MAX_MILLIS = 1_200;

    /** Part of the time that is drawn, so that nodes do not ask together. */
    private static final double JITTER = 0.5;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final RandomGenerator random;
    private final Map<Key, Refusals> refusals = new HashMap<>();

    private record Key(String region, String service, String route) {}

    private static final class Refusals {
        private int count;
        private long untilNanos;
    }

    FullRegions(RandomGenerator random) {
        this.random = random;
    }

    void refused(String region, String service, String route, long nowNanos) {
        Refusals known = refusals.computeIfAbsent(new Key(region, service, route), key -> new Refusals());
        if (known.count > 0 && nowNanos - known.untilNanos < 0) {
            // Answers to offers that were made together count once.
            return;
        }
        long millis = Math.min(MAX_MILLIS, FIRST_MILLIS << Math.min(known.count, 10));
        known.count++;
        known.untilNanos = nowNanos + (long) (millis * (1 - JITTER * random.nextDouble()) * NANOS_PER_MILLI);
    }

    void tookCall(String region, String service, String route) {
        refusals.remove(new Key(region, service, route));
    }

    boolean isFull(String region, String service, String route, long nowNanos) {
        Refusals known = refusals.get(new Key(region, service, route));
        return known != null && nowNanos - known.untilNanos < 0;
    }
}
