package io.jaywick.cli.bench.limits;

import java.util.concurrent.TimeUnit;

import io.jaywick.cli.virtual.VirtualTime;

/** Runs one strategy through one case on virtual time. */
public final class LimitBench {

    private LimitBench() {}

    /** Runs a case with a seed. */
    public static Result run(LimitStrategy strategy, LimitCase limitCase, LimitFleetOptions options, long seed) {
        VirtualTime time = new VirtualTime(seed);
        LimitFleet fleet = new LimitFleet(options, strategy, time);
        limitCase.plan(fleet);
        long endNanos = TimeUnit.SECONDS.toNanos(LimitCase.RUN_SECONDS);
        time.runUntil(endNanos);
        long warmUpEndNanos = TimeUnit.SECONDS.toNanos(LimitCase.WARM_UP_SECONDS);
        double usable = fleet.oracle().usableShare(warmUpEndNanos, endNanos);
        return new Result(Math.max(0, fleet.oracle().worst().overCalls()), usable);
    }

    /**
     * Outcome of one run.
     *
     * @param maxOverLimitCalls calls beyond the limit in the worst window
     * @param usableShare calls admitted after the warm-up, divided by those that the published limits allow
     */
    public record Result(int maxOverLimitCalls, double usableShare) {}
}
