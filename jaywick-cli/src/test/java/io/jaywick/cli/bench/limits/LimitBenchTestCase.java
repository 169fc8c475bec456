package io.jaywick.cli.bench.limits;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThan;

class LimitBenchTestCase {

    private static final int MIXED_SEEDS = 12;

    /** Guards against admitting more calls than the limit under any of the fault cases. */
    @ParameterizedTest
    @EnumSource(LimitCase.class)
    void escrowNeverExceedsTheLimit(LimitCase limitCase) {
        for (long seed = 1; seed <= 2; seed++) {
            assertThat(
                    "seed " + seed, run(LimitStrategy.ESCROW, limitCase, seed).maxOverLimitCalls(), equalTo(0));
        }
    }

    /** Guards against admitting more calls than the limit when faults of all kinds interleave at random. */
    @Test
    void escrowNeverExceedsTheLimitInRandomInterleavings() {
        for (long seed = 100; seed < 100 + MIXED_SEEDS; seed++) {
            assertThat(
                    "seed " + seed,
                    run(LimitStrategy.ESCROW, LimitCase.MIXED, seed).maxOverLimitCalls(),
                    equalTo(0));
        }
    }

    /** Guards against quota that stays unused when all demand is at one server or moves between servers. */
    @ParameterizedTest
    @EnumSource(
            value = LimitCase.class,
            names = {"QUIET", "SKEWED", "PARTITIONED"})
    void escrowKeepsNineTenthsUsable(LimitCase limitCase) {
        assertThat(run(LimitStrategy.ESCROW, limitCase, 1).usableShare(), greaterThanOrEqualTo(0.9));
    }

    /** A fixed share never exceeds the limit, but leaves most of it unused under skewed demand. */
    @Test
    void fixedShareLeavesMostOfTheLimitUnusedUnderSkew() {
        LimitBench.Result result = run(LimitStrategy.FIXED, LimitCase.SKEWED, 1);
        assertThat(result.maxOverLimitCalls(), equalTo(0));
        assertThat(result.usableShare(), lessThan(0.1));
    }

    /**
     * Guards against an oracle that misses violations: under a partition each side chooses its own owner, and both
     * together admit almost twice the limit.
     */
    @Test
    void ownerExceedsTheLimitUnderPartition() {
        assertThat(run(LimitStrategy.OWNER, LimitCase.PARTITIONED, 1).maxOverLimitCalls(), greaterThan(500));
    }

    private static LimitBench.Result run(LimitStrategy strategy, LimitCase limitCase, long seed) {
        return LimitBench.run(strategy, limitCase, LimitFleetOptions.standard(), seed);
    }
}
