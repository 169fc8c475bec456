package io.jaywick.node.relay;

import io.jaywick.core.capacity.CapacityEstimator;
import io.jaywick.core.fleet.Instance;
import io.jaywick.core.gate.TargetGate;

/** The learned capacity of the local target: what its gate uses, and what answers, metrics and the log report of it. */
final class LearnedCapacity {

    /** Smaller changes of the limit are not logged. */
    private static final double LOGGED_CHANGE = 0.25;

    private static final int LINES_PER_SECOND = 1;

    /** Replaced when the entry of the target is known. */
    private static final int INITIAL_SLOTS = 4;

    private final RelayContext context;
    private final boolean isLearned;
    private final CapacityEstimator estimator = new CapacityEstimator(INITIAL_SLOTS);
    private final LogRateLimiter logLimiter;
    private int loggedLimit;
    private long movesAtLog;

    LearnedCapacity(RelayContext context) {
        this.context = context;
        this.isLearned = context.settings().learnCapacity();
        this.logLimiter = new LogRateLimiter(LINES_PER_SECOND, context.runtime().nanoTime());
        this.loggedLimit = INITIAL_SLOTS;
    }

    /** Creates the gate of the target, which admits calls up to the learned limit if capacity is learned. */
    TargetGate createGate() {
        return isLearned
                ? new TargetGate(context.runtime().nanoTime(), estimator)
                : new TargetGate(context.runtime().nanoTime());
    }

    /** Discards what was learned, because another process has taken the place of the target. */
    void targetStarted() {
        estimator.reset();
    }

    /** Discards the learned limit, because the target is cold. */
    void targetCold() {
        estimator.discardLimit();
    }

    /** Adds the service time of a route and the limit to a result. */
    CallResult addTo(CallResult result, String route) {
        return isLearned ? result.withCapacity(estimator.serviceMillis(route), estimator.limit()) : result;
    }

    /** Learned limit on the calls that run concurrently; {@link Double#NaN} if it is not learned. */
    double limit() {
        return isLearned ? estimator.limit() : Double.NaN;
    }

    /** Factor by which service times are longer at the higher of the two limits that were compared last. */
    double inflationFactor() {
        return estimator.inflationFactor(context.nanoTime());
    }

    /** Number of times that the limit moved. */
    double moves() {
        return estimator.moves();
    }

    /** Logs a change of the limit by a quarter or more since the last line; changes of the slots are not logged. */
    void logChange(Instance instance, TargetGate gate) {
        long moves = estimator.moves();
        int limit = estimator.limit();
        if (moves == movesAtLog) {
            loggedLimit = limit;
            return;
        }
        if (Math.abs(limit - loggedLimit) < LOGGED_CHANGE * loggedLimit) {
            return;
        }
        logLimiter.startSecondIfDue();
        if (logLimiter.tryAcquire()) {
            context.log()
                    .info(
                            "learned limit of the local target changed",
                            "instance",
                            instance == null ? "" : instance.id(),
                            "limit",
                            limit,
                            "before",
                            loggedLimit,
                            "inflation",
                            inflationFactor(),
                            "running",
                            gate.running(),
                            "waiting",
                            gate.waiting());
            loggedLimit = limit;
            movesAtLog = moves;
        }
    }
}
