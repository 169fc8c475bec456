package io.jaywick.cli.bench.limits;

import java.util.concurrent.TimeUnit;

import io.jaywick.cli.virtual.VirtualTime;

/** Runs one strategy under one case of demand and faults, in virtual time. */
public final class LimitBench {

    private LimitBench() {}

    public static Result run(LimitStrategy strategy, LimitCase limitCase, LimitFleetOptions options, long seed) {
        VirtualTime time = new VirtualTime(seed);
        LimitFleet fleet = new LimitFleet(options, strategy, time);
        limitCase.plan(fleet);
        long endNanos = TimeUnit.SECONDS.toNanos(LimitCase.RUN_SECONDS);
        time.runUntil(endNanos);
        long warmUpEndNanos = TimeUnit.SECONDS.toNanos(LimitCase.WARM_UP_SECONDS);
        double usable = fleet.oracle().usableShare(warmUpEndNanos, endNanos);
        return new Result(Math.max(0, fleet.oracle().worstExcess().overCalls()), usable);
    }

    /**
     * Result of one run.
     *
     * @param maxOverLimitCalls calls beyond the limit in the window that exceeds it the most, or 0
     * @param usableShare calls admitted after the warm-up, divided by those that the published limits allow
     */
    public record Result(int maxOverLimitCalls, double usableShare) {}
}
