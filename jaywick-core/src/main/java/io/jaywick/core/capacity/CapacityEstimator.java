package io.jaywick.core.capacity;

/**
 * Learns the expected service time of each route at the local target, and the number of calls that the target runs well.
 * Not thread-safe.
 */
public final class CapacityEstimator {

    private static final double NANOS_PER_MILLI = 1_000_000;

    /** Shorter service times are below the resolution of the reports, and their logarithm would dominate. */
    private static final double MIN_SERVICE_MILLIS = 0.1;

    /** While calls wait, the gate is called every 20 ms; a longer gap is a pause of the process, not of the target. */
    private static final long PAUSE_NANOS = 300_000_000L;

    /** After a pause of this length the target may be another one. */
    private static final long LONG_PAUSE_NANOS = 2_000_000_000L;

    /** Weight of the newest service time in the average of all routes, by which trials are timed. */
    private static final double OVERALL_WEIGHT = 0.05;

    private final RouteServiceTimes serviceTimes = new RouteServiceTimes();
    private final LimitLearner limitLearner;
    private double overallMillis = Double.NaN;
    private int running;
    private int waiting;
    private boolean observed;
    private long observedNanos;
    private double callNanos;
    private boolean paused;
    private long pauseEndNanos;

    public CapacityEstimator(int slots) {
        this.limitLearner = new LimitLearner(Math.max(1, slots));
    }

    /** A call that runs at the target. */
    public static final class RunningCall {
        private final String route;
        private final long startedNanos;
        private final ConcurrencyTrial.Sample sample;

        private RunningCall(String route, long startedNanos, ConcurrencyTrial.Sample sample) {
            this.route = route;
            this.startedNanos = startedNanos;
            this.sample = sample;
        }
    }

    /** Sets the upper bound of the limit. */
    public void setSlots(int slots) {
        limitLearner.setSlots(Math.max(1, slots));
    }

    /** Returns the learned limit, at which most calls run. */
    public int limit() {
        return limitLearner.limit();
    }

    /** Returns the number of calls that may run now; it differs from {@link #limit} while another one is probed. */
    public int limitNow(long nowNanos) {
        return limitLearner.limitNow(nowNanos);
    }

    /** Number of times that the learned limit changed. */
    public long moves() {
        return limitLearner.moves();
    }

    /**
     * Returns the factor by which service times at the learned limit exceed those at a quarter less, or, when the limit
     * was lowered, those at the next higher limit exceed those at the learned one; NaN when unknown.
     */
    public double inflationFactor(long nowNanos) {
        return limitLearner.inflationFactor(nowNanos);
    }

    /** Returns the expected service time of a route in milliseconds, at least 1, or -1 when it is unknown. */
    public long serviceMillis(String route) {
        double millis = serviceTimes.averageMillis(route);
        return millis < 0 ? -1 : Math.max(1, Math.round(millis));
    }

    /**
     * Records the start of a call.
     *
     * @param runningNow number of calls that run now, including this one
     */
    public RunningCall recordStart(String route, int runningNow, long nowNanos) {
        advance(nowNanos);
        running = runningNow;
        return new RunningCall(
                route,
                nowNanos,
                limitLearner.start(route, runningNow, serviceTimes.averageLogMillis(route), nowNanos, callNanos));
    }

    /**
     * Records the end of a call.
     *
     * @param succeeded whether the target answered with a success
     * @param runningNow number of calls that still run
     */
    public void recordEnd(RunningCall call, boolean succeeded, int runningNow, long nowNanos) {
        advance(nowNanos);
        running = runningNow;
        if (paused && call.startedNanos - pauseEndNanos < 0) {
            return;
        }
        double millis = Math.max(MIN_SERVICE_MILLIS, (nowNanos - call.startedNanos) / NANOS_PER_MILLI);
        if (call.sample != null) {
            call.sample.end(succeeded, nowNanos, callNanos);
        }
        serviceTimes.record(call.route, millis, succeeded);
        if (succeeded) {
            overallMillis =
                    Double.isNaN(overallMillis) ? millis : overallMillis + OVERALL_WEIGHT * (millis - overallMillis);
        }
    }

    /** Records how many calls run and wait, and moves the limit; to be called at short intervals while calls wait. */
    public void update(int runningNow, int waitingNow, long nowNanos) {
        advance(nowNanos);
        running = runningNow;
        waiting = waitingNow;
        boolean saturated = waiting > 0 && running >= limitNow(nowNanos);
        limitLearner.update(saturated, overallMillis, nowNanos, callNanos);
    }

    private void advance(long nowNanos) {
        if (observed) {
            long nanos = nowNanos - observedNanos;
            if (waiting > 0 && nanos > PAUSE_NANOS) {
                recordPause(nanos, nowNanos);
            }
            limitLearner.observe(observedNanos, nowNanos, running);
            callNanos += (double) nanos * running;
        }
        observed = true;
        observedNanos = nowNanos;
    }

    /** Calls that ran during a pause show neither the speed of the target nor the effect of a limit. */
    private void recordPause(long nanos, long nowNanos) {
        paused = true;
        pauseEndNanos = nowNanos;
        limitLearner.abandonTrials();
        if (nanos > LONG_PAUSE_NANOS) {
            limitLearner.discard();
        }
    }

    /** Returns the limit to all slots, because the target is cold. */
    public void discardLimit() {
        limitLearner.discard();
    }

    /** Discards everything, because another process has taken the place of the target. */
    public void reset() {
        serviceTimes.clear();
        overallMillis = Double.NaN;
        limitLearner.discard();
    }
}
