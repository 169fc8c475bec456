package io.jaywick.core.capacity;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.IntToDoubleFunction;

/** A saturated target on virtual time, whose calls progress at a speed that depends on how many run. */
final class SimulatedTarget {

    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
    private static final int WAITING = 10;

    /** Mean of the log-normal times of a call that runs alone, and standard deviation of their logarithm. */
    record Load(double meanMillis, double sigma) {}

    final CapacityEstimator estimator;
    /** Factor on the service times when so many calls run. */
    IntToDoubleFunction inflation = running -> 1;
    /** Fraction of the calls of a second route, whose calls take eight times as long. */
    double longFraction;

    long nowNanos;
    double completedMillis;
    private final int slots;
    private final Load load;
    private final Random random;
    private final List<Running> calls = new ArrayList<>();
    private long lastProbeNanos;
    private long longestWithoutProbeNanos;

    private static final class Running {
        private CapacityEstimator.RunningCall call;
        private double millis;
        private double remainingMillis;
    }

    SimulatedTarget(int slots, Load load, long seed) {
        this.slots = slots;
        this.load = load;
        this.random = new Random(seed);
        this.estimator = new CapacityEstimator(slots);
    }

    /** Runs for a time and returns the fraction of it for which all slots could be used. */
    double run(double seconds) {
        long startNanos = nowNanos;
        long fullNanos = 0;
        while (nowNanos - startNanos < seconds * TimeUnit.SECONDS.toNanos(1)) {
            nowNanos += TICK_NANOS;
            fullNanos += estimator.limitNow(nowNanos) == slots ? TICK_NANOS : 0;
            if (estimator.limit() == slots || estimator.limitNow(nowNanos) > estimator.limit()) {
                lastProbeNanos = nowNanos;
            }
            longestWithoutProbeNanos = Math.max(longestWithoutProbeNanos, nowNanos - lastProbeNanos);
            progress();
            estimator.update(calls.size(), WAITING, nowNanos);
            while (calls.size() < estimator.limitNow(nowNanos)) {
                start();
            }
        }
        return (double) fullNanos / (nowNanos - startNanos);
    }

    double longestSecondsWithoutProbe() {
        return (double) longestWithoutProbeNanos / TimeUnit.SECONDS.toNanos(1);
    }

    private void start() {
        boolean isLong = random.nextDouble() < longFraction;
        Running running = new Running();
        running.millis = load.meanMillis
                * (isLong ? 8 : 1)
                * Math.exp(load.sigma * random.nextGaussian() - load.sigma * load.sigma / 2);
        running.remainingMillis = running.millis;
        calls.add(running);
        running.call = estimator.recordStart(isLong ? "long" : "short", calls.size(), nowNanos);
    }

    private void progress() {
        double millis = TimeUnit.NANOSECONDS.toMillis(TICK_NANOS) / inflation.applyAsDouble(calls.size());
        int left = calls.size();
        for (Iterator<Running> iterator = calls.iterator(); iterator.hasNext(); ) {
            Running running = iterator.next();
            running.remainingMillis -= millis;
            if (running.remainingMillis <= 0) {
                iterator.remove();
                left--;
                completedMillis += running.millis;
                estimator.recordEnd(running.call, true, left, nowNanos);
            }
        }
    }
}
