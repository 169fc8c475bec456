package io.jaywick.core.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Adaptive concurrency limit of a target: additive increase, multiplicative decrease. It starts at the cold-start calls
 * of the service, grows by one with each complete answer that is not slow, and is halved when the target refuses a call
 * or when several consecutive answers are much slower than typical, which indicates that the target has become cold
 * again. Not thread-safe.
 */
public final class ConcurrencyLimit {

    /** A slow answer exceeds this multiple of its route's typical latency by more than {@link #SLOW_FLOOR_NANOS}. */
    public static final int SLOW_FACTOR = 3;
    /** Consecutive slow answers that halve the limit. A single slow answer is normal; three in a row are not. */
    public static final int SLOW_ANSWERS_TO_HALVE = 3;
    /** Smaller differences in latency are scheduling noise. */
    public static final long SLOW_FLOOR_NANOS = 5_000_000;

    private static final double EWMA_WEIGHT = 0.1;
    /** Slow answers change the typical latency little, but enough to adapt in time to a latency that stays higher. */
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

    /** Applies changed values of the table. The limit of a warm target is kept, up to the new slots. */
    public void configure(int newColdStartCalls, int newSlots) {
        coldStartCalls = Math.max(1, newColdStartCalls);
        slots = Math.max(1, newSlots);
        limit = Math.min(limit, slots);
    }

    public int limit() {
        return limit;
    }

    /**
     * Records a complete answer. Slow answers to calls that were dispatched before the last halving do not halve the
     * limit again: a pause of the machine delays all calls in flight at once and does not indicate a cold target.
     */
    public void recordAnswer(String route, long dispatchedNanos, long nowNanos) {
        long latencyNanos = nowNanos - dispatchedNanos;
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
            lastHalvedNanos = nowNanos;
            halve();
        }
    }

    /** Records that the target shed a call. */
    public void recordRefusal() {
        halve();
    }

    /**
     * Records the loss of the target and resets the limit, because the process that replaces the target starts cold.
     */
    public void recordTargetLoss() {
        limit = Math.min(coldStartCalls, slots);
        consecutiveSlowAnswers = 0;
    }

    private void halve() {
        limit = Math.max(1, limit / 2);
    }
}
