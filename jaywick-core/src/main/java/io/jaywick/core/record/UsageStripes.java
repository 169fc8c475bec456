package io.jaywick.core.record;

import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Counts usage between two lines. Threads count into different stripes while there are no more of them than
 * stripes, so that the lock of a stripe is contended only by the drain of the writer, which swaps the map inside it.
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
     * Hands over everything counted since the last drain. After it no call is counted into an hour before the
     * returned one, also when the wall clock steps back.
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

    /** Event loops start together, so their consecutive identifiers fall on different stripes. */
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
