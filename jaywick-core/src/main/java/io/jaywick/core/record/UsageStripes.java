package io.jaywick.core.record;

import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Counts usage between two record lines. As long as there are at least as many stripes as threads, threads with
 * consecutive identifiers use different stripes; the lock of a stripe is then contended only by {@link #drain}, which
 * replaces the map of the stripe.
 */
final class UsageStripes {

    private static final long HOUR_MILLIS = 3_600_000;

    private final InstantSource clock;
    private final Stripe[] stripes;
    private final int maxKeysPerStripe;
    private volatile long earliestHour;

    UsageStripes(InstantSource clock, int stripeCount, int maxKeysPerStripe) {
        this.clock = clock;
        this.maxKeysPerStripe = maxKeysPerStripe;
        this.stripes = new Stripe[stripeCount];
        for (int i = 0; i < stripeCount; i++) {
            stripes[i] = new Stripe();
        }
    }

    /** Adds one call to the counters of its key in the current hour. */
    void count(CallUsage usage, String region) {
        Stripe stripe = currentThreadStripe();
        synchronized (stripe) {
            long hour = currentHour();
            boolean nested = usage.depth() > 0;
            UsageKey key = usage.regionBound() && !usage.homeRegion()
                    ? UsageKey.regionBound(region, nested, hour)
                    : new UsageKey("", usage.party(), usage.service(), usage.route(), usage.region(), nested, hour);
            UsageCounting.add(stripe.counters(key), usage);
        }
    }

    /** Adds one dispatch to the counters of its key in the current hour. */
    void count(DispatchUsage usage, String region) {
        Stripe stripe = currentThreadStripe();
        synchronized (stripe) {
            UsageKey key = new UsageKey(
                    "", usage.party(), usage.service(), usage.route(), region, usage.depth() > 0, currentHour());
            UsageCounting.add(stripe.counters(key), usage);
        }
    }

    /**
     * Passes everything counted since the last drain to the consumer and returns the current hour. Later calls are
     * never counted in an earlier hour, even when the wall clock steps back.
     */
    long drain(BiConsumer<UsageKey, UsageCounters> consumer) {
        long hour = currentHour();
        earliestHour = hour;
        for (Stripe stripe : stripes) {
            Map<UsageKey, UsageCounters> counted;
            synchronized (stripe) {
                counted = stripe.counted;
                stripe.counted = new HashMap<>();
            }
            counted.forEach(consumer);
        }
        return hour;
    }

    private long currentHour() {
        return Math.max(earliestHour, Math.floorDiv(clock.millis(), HOUR_MILLIS));
    }

    /** Event loop threads start together, so their consecutive identifiers map to different stripes. */
    private Stripe currentThreadStripe() {
        return stripes[Math.floorMod(Thread.currentThread().getId(), stripes.length)];
    }

    private final class Stripe {

        private Map<UsageKey, UsageCounters> counted = new HashMap<>();

        private UsageCounters counters(UsageKey key) {
            UsageCounters counters = counted.get(key);
            if (counters != null) {
                return counters;
            }
            UsageKey effectiveKey = counted.size() < maxKeysPerStripe ? key : UsageKey.overflow(key.hour());
            return counted.computeIfAbsent(effectiveKey, ignored -> new UsageCounters());
        }
    }
}
