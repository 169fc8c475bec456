package io.jaywick.core.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Compares the service times of a saturated target at two concurrency limits: the limit in force, the probed one, and the
 * limit in force again, for the same time each. Calls are attributed to the limit under which they started, whatever
 * their duration. Since only the limit differs between the phases, a slow service that the target calls, or a change of
 * the traffic, affects both alike. Not thread-safe.
 */
final class ConcurrencyTrial {

    private static final int PHASES = 3;

    /** A trial in which the target had free slots for a larger fraction of the time shows nothing. */
    private static final double MAX_UNSATURATED_FRACTION = 0.2;

    /** Bounds the effect of one call; about three standard deviations of log-normal work times. */
    private static final double MAX_LOG_RATIO = 2.5;

    /** Calls that are still running so many phases after the trial count with their age. */
    private static final int MAX_COMPLETION_PHASES = 3;

    private static final double NANOS_PER_MILLI = 1_000_000;

    private final int controlLimit;
    private final int probeLimit;
    private final long startNanos;
    private final long phaseNanos;
    private final Arm control = new Arm();
    private final Arm probe = new Arm();
    private final List<Sample> open = new ArrayList<>();
    /** Fixed for the trial: the noise of a moving average would differ between the phases. */
    private final Map<String, Double> expectedLogMillisByRoute = new HashMap<>();

    private long unsaturatedNanos;

    /** Calls that started under one limit. */
    private static final class Arm {
        private int calls;
        private double sum;
        private double sumOfSquares;
        private double concurrencySum;

        double mean() {
            return sum / calls;
        }

        double meanLogConcurrency() {
            return concurrencySum / calls;
        }

        double squaredDeviations() {
            return sumOfSquares - sum * sum / calls;
        }
    }

    /** A call of the trial that is running. */
    final class Sample {
        private final Arm arm;
        private final double expectedLogMillis;
        private final long startedNanos;
        private final double startCallNanos;

        private Sample(Arm arm, double expectedLogMillis, long startedNanos, double startCallNanos) {
            this.arm = arm;
            this.expectedLogMillis = expectedLogMillis;
            this.startedNanos = startedNanos;
            this.startCallNanos = startCallNanos;
        }

        /**
         * Ends the call.
         *
         * @param complete whether its duration is its service time, otherwise this is a lower bound
         * @param callNanos total running time of all calls of the target so far
         */
        void end(boolean complete, long nowNanos, double callNanos) {
            if (open.remove(this)) {
                add(complete, nowNanos, callNanos);
            }
        }

        private void add(boolean complete, long nowNanos, double callNanos) {
            double elapsedNanos = Math.max(1, nowNanos - startedNanos);
            double logRatio = Math.log(elapsedNanos / NANOS_PER_MILLI) - expectedLogMillis;
            if (!complete && logRatio < 0) {
                return;
            }
            logRatio = Math.max(-MAX_LOG_RATIO, Math.min(MAX_LOG_RATIO, logRatio));
            arm.calls++;
            arm.sum += logRatio;
            arm.sumOfSquares += logRatio * logRatio;
            arm.concurrencySum += Math.log(Math.max(1, (callNanos - startCallNanos) / elapsedNanos));
        }
    }

    ConcurrencyTrial(int controlLimit, int probeLimit, long startNanos, long phaseNanos) {
        this.controlLimit = controlLimit;
        this.probeLimit = probeLimit;
        this.startNanos = startNanos;
        this.phaseNanos = phaseNanos;
    }

    private boolean isProbing(long nowNanos) {
        long elapsedNanos = nowNanos - startNanos;
        return elapsedNanos >= phaseNanos && elapsedNanos < 2 * phaseNanos;
    }

    int limit(long nowNanos) {
        return isProbing(nowNanos) ? probeLimit : controlLimit;
    }

    long endNanos() {
        return startNanos + PHASES * phaseNanos;
    }

    /** Records how many calls ran from one time to another. */
    void observe(long fromNanos, long toNanos, int running) {
        if (running < limit(fromNanos)) {
            unsaturatedNanos += toNanos - fromNanos;
        }
    }

    /** Whether the target was saturated for long enough. */
    boolean isValid() {
        return unsaturatedNanos <= MAX_UNSATURATED_FRACTION * PHASES * phaseNanos;
    }

    /**
     * Adds a call that starts now, unless it runs beside fewer calls than the limit allows.
     *
     * @param averageLogMillis average logarithm of the service times of the route so far
     */
    Sample start(String route, int running, double averageLogMillis, long nowNanos, double callNanos) {
        if (running != limit(nowNanos)) {
            return null;
        }
        double expectedLogMillis = expectedLogMillisByRoute.computeIfAbsent(route, key -> averageLogMillis);
        Sample sample = new Sample(isProbing(nowNanos) ? probe : control, expectedLogMillis, nowNanos, callNanos);
        open.add(sample);
        return sample;
    }

    /** Whether the calls of the trial have ended, or have run for so long that their age says enough. */
    boolean isComplete(long nowNanos) {
        return open.isEmpty() || nowNanos - endNanos() >= MAX_COMPLETION_PHASES * phaseNanos;
    }

    /** Returns what the trial shows, or null if one of the limits had no calls. */
    TrialResult result(long nowNanos, double callNanos) {
        for (Sample sample : open) {
            sample.add(false, nowNanos, callNanos);
        }
        open.clear();
        if (control.calls == 0 || probe.calls == 0) {
            return null;
        }
        Arm higher = probeLimit > controlLimit ? probe : control;
        Arm lower = probeLimit > controlLimit ? control : probe;
        return new TrialResult(
                nowNanos,
                (double) higher.calls * lower.calls / (higher.calls + lower.calls),
                higher.mean() - lower.mean(),
                higher.meanLogConcurrency() - lower.meanLogConcurrency(),
                higher.squaredDeviations() + lower.squaredDeviations(),
                higher.calls + lower.calls - 2);
    }
}
