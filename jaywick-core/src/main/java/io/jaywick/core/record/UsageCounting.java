package io.jaywick.core.record;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

/** Adds the usage of one ended call or dispatch to a set of counters. */
final class UsageCounting {

    /**
     * Bounds each cache of composed counter names. Names beyond the bound are composed on every use; the known reasons
     * and links stay below it.
     */
    private static final int MAX_CACHED_NAMES = 1_024;

    private static final Map<String, String> REFUSED_NAMES = new ConcurrentHashMap<>();
    private static final Map<String, String> UNKNOWN_NAMES = new ConcurrentHashMap<>();
    private static final Map<String, String> LINK_NAMES = new ConcurrentHashMap<>();

    private UsageCounting() {}

    static void add(UsageCounters counters, CallUsage usage) {
        switch (usage.outcome()) {
            case ANSWERED -> counters.add(UsageCounters.ANSWERED, 1);
            case NOT_RUN -> counters.add(counterName(REFUSED_NAMES, usage.reason(), UsageCounters.REFUSED::concat), 1);
            default -> counters.add(counterName(UNKNOWN_NAMES, usage.reason(), UsageCounters.UNKNOWN::concat), 1);
        }
        counters.add(UsageCounters.RETRIES, Math.max(0, usage.attempts() - 1));
        counters.add(UsageCounters.REQUEST_BYTES, usage.requestBytes());
        counters.add(UsageCounters.RESPONSE_BYTES, usage.responseBytes());
        if (usage.linkBytes() != 0) {
            counters.add(counterName(LINK_NAMES, usage.link(), UsageCounters.LINK_BYTES::concat), usage.linkBytes());
        }
    }

    static void add(UsageCounters counters, DispatchUsage usage) {
        counters.add(UsageCounters.DISPATCHES, 1);
        counters.add(UsageCounters.RETRIED_DISPATCHES, usage.attempt() > 1 ? 1 : 0);
        counters.add(UsageCounters.SLOT_MICROS, usage.slotMicros());
    }

    private static String counterName(Map<String, String> cache, String suffix, Function<String, String> compose) {
        String name = cache.get(suffix);
        if (name == null) {
            name = compose.apply(suffix);
            if (cache.size() < MAX_CACHED_NAMES) {
                cache.put(suffix, name);
            }
        }
        return name;
    }
}
