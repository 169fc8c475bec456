package io.jaywick.core.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Concurrency that a target is trusted with. It starts at the cold start calls, grows by one with each whole answer
 * and is halved when the target refuses or when several answers in a row are much slower than usual, which means that
 * the target has turned cold. Not thread-safe.
 */
public final class ConcurrencyLimit {

    /** An answer is slow at this multiple of the usual latency of its route. */
    public static final int SLOW_FACTOR = 3;
    /** A single slow answer is usual; three in a row are not. */
    public static final int SLOW_ANSWERS_TO_HALVE = 3;
    /** Differences below it are scheduling noise. */
    public static final long SLOW_FLOOR_NANOS = 5_000_000;

    private static final double EWMA_WEIGHT = 0.1;
    /** Slow answers move the usual latency little, yet enough that a lasting change is accepted in time. */
    private static final double SLOW_EWMA_WEIGHT = 0.02;

    private static final int MAX_ROUTES = 1_024;

    private final Map<String, Double> typicalLatencyNanos = new HashMap<>();
    private int coldStartCalls;
    private int slots;
    private int limit;
    private int consecutiveSlowAnswers;
    private boolean hasBeenHalved;
    private long lastHalvedNanos;

    public ConcurrencyLimit(int coldStartCalls, int slots) {
        this.coldStartCalls = Math.max(1, coldStartCalls);
        this.slots = Math.max(1, slots);
        this.limit = Math.min(this.coldStartCalls, this.slots);
    }

    /** Takes over changed values of the table; a warm target stays warm. */
    public void configure(int newColdStartCalls, int newSlots) {
        coldStartCalls = Math.max(1, newColdStartCalls);
        slots = Math.max(1, newSlots);
        limit = Math.min(limit, slots);
    }

    public int limit() {
        return limit;
    }

    /**
     * The target answered in full. Slow answers halve the limit once for the calls dispatched since the last halving: a
     * pause of the machine delays all calls in flight at once and is no sign of a cold target.
     */
    public void recordAnswer(String route, long dispatchedNanos, long now) {
        long latencyNanos = now - dispatchedNanos;
        Double typicalNanos = typicalLatencyNanos.get(route);
        boolean slow = typicalNanos != null && latencyNanos > SLOW_FACTOR * typicalNanos + SLOW_FLOOR_NANOS;
        if (typicalNanos == null) {
            if (typicalLatencyNanos.size() < MAX_ROUTES) {
                typicalLatencyNanos.put(route, (double) latencyNanos);
            }
        } else {
            typicalLatencyNanos.put(
                    route, typicalNanos + (slow ? SLOW_EWMA_WEIGHT : EWMA_WEIGHT) * (latencyNanos - typicalNanos));
        }
        if (!slow) {
            consecutiveSlowAnswers = 0;
            limit = Math.min(slots, limit + 1);
            return;
        }
        consecutiveSlowAnswers++;
        if (consecutiveSlowAnswers >= SLOW_ANSWERS_TO_HALVE
                && (!hasBeenHalved || dispatchedNanos - lastHalvedNanos >= 0)) {
            hasBeenHalved = true;
            lastHalvedNanos = now;
            halve();
        }
    }

    /** The target shed the call. */
    public void recordRefusal() {
        halve();
    }

    /** The target was lost; the process that follows it starts cold. */
    public void recordTargetLoss() {
        limit = Math.min(coldStartCalls, slots);
        consecutiveSlowAnswers = 0;
    }

    private void halve() {
        limit = Math.max(1, limit / 2);
    }
}
