package io.jaywick.core.capacity;

import java.util.ArrayDeque;

/**
 * Recent comparisons of two adjacent concurrency limits. Throughput is concurrency divided by service time: it falls with
 * the higher limit when service times grow by a larger factor than concurrency. Not thread-safe.
 */
final class ThroughputEvidence {

    /** Faults of targets last for seconds; older comparisons may describe another state. */
    private static final long MAX_AGE_NANOS = 30_000_000_000L;

    /** Comparisons by which a lowered limit is judged; a recovered target has its slots back after about two. */
    private static final long RECENT_NANOS = 6_000_000_000L;

    /** Variance of the logarithm of a log-normal time whose tail is about five times its mean. */
    private static final double PRIOR_VARIANCE = 0.64;

    /** Weight of the prior variance in degrees of freedom. */
    private static final double PRIOR_DEGREES = 4;

    /** Standard errors by which the inflation must exceed the gain before the limit is lowered. */
    private static final double LOWERING_CONFIDENCE = 1.5;

    /** Fraction of the concurrency gain that the inflation must certainly exceed before the limit is lowered. */
    private static final double LOWERING_RATIO = 0.85;

    /** Below this fraction of the gain, the higher limit is taken to be better again. The difference is hysteresis. */
    private static final double RAISING_RATIO = 0.6;

    /** Sum of weights below which the limit is not lowered; about 15 calls in each group. */
    private static final double MIN_LOWERING_WEIGHT = 6;

    /** Sum of weights below which the limit is not raised; about six calls in each group. */
    private static final double MIN_RAISING_WEIGHT = 3;

    private final ArrayDeque<TrialResult> results = new ArrayDeque<>();
    private boolean lowered;
    private long loweredNanos;

    private static final class Sums {
        private double weight;
        private double inflation;
        private double gain;
        private double squaredDeviations = PRIOR_VARIANCE * PRIOR_DEGREES;
        private double degrees = PRIOR_DEGREES;

        double standardError() {
            return Math.sqrt(squaredDeviations / degrees / weight);
        }
    }

    void add(TrialResult result) {
        results.addLast(result);
    }

    void clear() {
        results.clear();
    }

    /** Judges the lowered limit by the comparisons from now on, as the earlier ones may have been an error. */
    void markLowered(long nowNanos) {
        loweredNanos = nowNanos;
        lowered = true;
    }

    private Sums sums(long maxAgeNanos, long nowNanos) {
        Sums sums = new Sums();
        for (TrialResult result : results) {
            if (nowNanos - result.nanos() <= maxAgeNanos) {
                sums.weight += result.weight();
                sums.inflation += result.weight() * result.inflation();
                sums.gain += result.weight() * result.concurrencyGain();
                sums.squaredDeviations += result.squaredDeviations();
                sums.degrees += result.degreesOfFreedom();
            }
        }
        if (sums.weight > 0) {
            sums.inflation /= sums.weight;
            sums.gain = Math.max(0, sums.gain / sums.weight);
        }
        return sums;
    }

    void expire(long nowNanos) {
        while (!results.isEmpty() && nowNanos - results.peekFirst().nanos() > MAX_AGE_NANOS) {
            results.removeFirst();
        }
    }

    /** Whether throughput certainly does not grow with the higher limit. */
    boolean showsNoGain(long nowNanos) {
        Sums sums = sums(MAX_AGE_NANOS, nowNanos);
        return sums.weight >= MIN_LOWERING_WEIGHT
                && sums.inflation - LOWERING_CONFIDENCE * sums.standardError() > LOWERING_RATIO * sums.gain;
    }

    /** Whether throughput may not grow with the higher limit, so that another comparison is worth its price. */
    boolean suggestsNoGain(long nowNanos) {
        Sums sums = sums(MAX_AGE_NANOS, nowNanos);
        return sums.weight > 0 && sums.inflation > LOWERING_RATIO * sums.gain;
    }

    /** Whether throughput seems to grow with the higher limit again. */
    boolean showsGain(long nowNanos) {
        Sums sums = sums(lowered ? Math.min(RECENT_NANOS, nowNanos - loweredNanos - 1) : RECENT_NANOS, nowNanos);
        return sums.weight >= MIN_RAISING_WEIGHT && sums.inflation < RAISING_RATIO * sums.gain;
    }

    /** Factor by which service times are longer at the higher limit; NaN without comparisons. */
    double inflationFactor(long nowNanos) {
        Sums sums = sums(MAX_AGE_NANOS, nowNanos);
        return sums.weight > 0 ? Math.exp(sums.inflation) : Double.NaN;
    }

    /** Whether there is a comparison that is not older than the given time. */
    boolean isNewerThan(long ageNanos, long nowNanos) {
        return !results.isEmpty() && nowNanos - results.peekLast().nanos() <= ageNanos;
    }
}
