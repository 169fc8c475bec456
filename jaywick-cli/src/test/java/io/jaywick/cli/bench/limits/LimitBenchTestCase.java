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

    /** Guards against an exceeded limit in any single kind of failure. */
    @ParameterizedTest
    @EnumSource(LimitCase.class)
    void escrowNeverExceedsTheLimit(LimitCase limitCase) {
        for (long seed = 1; seed <= 2; seed++) {
            assertThat(
                    "seed " + seed, run(LimitStrategy.ESCROW, limitCase, seed).maxOverLimitCalls(), equalTo(0));
        }
    }

    /** Guards against an exceeded limit when failures of all kinds interleave at random. */
    @Test
    void escrowNeverExceedsTheLimitInRandomInterleavings() {
        for (long seed = 100; seed < 100 + MIXED_SEEDS; seed++) {
            assertThat(
                    "seed " + seed,
                    run(LimitStrategy.ESCROW, LimitCase.MIXED, seed).maxOverLimitCalls(),
                    equalTo(0));
        }
    }

    /** Guards against quota that is lost when demand sits on one server or moves. */
    @ParameterizedTest
    @EnumSource(
            value = LimitCase.class,
            names = {"QUIET", "SKEWED", "PARTITIONED"})
    void escrowKeepsNineTenthsUsable(LimitCase limitCase) {
        assertThat(run(LimitStrategy.ESCROW, limitCase, 1).usableShare(), greaterThanOrEqualTo(0.9));
    }

    /** The naive fixed share is safe and mostly unusable under skew. */
    @Test
    void fixedShareIsUnusableUnderSkew() {
        LimitBench.Result result = run(LimitStrategy.FIXED, LimitCase.SKEWED, 1);
        assertThat(result.maxOverLimitCalls(), equalTo(0));
        assertThat(result.usableShare(), lessThan(0.1));
    }

    /** The naive owner admits almost twice the limit under a partition; guards against an oracle that sees nothing. */
    @Test
    void ownerExceedsTheLimitUnderPartition() {
        assertThat(run(LimitStrategy.OWNER, LimitCase.PARTITIONED, 1).maxOverLimitCalls(), greaterThan(500));
    }

    private static LimitBench.Result run(LimitStrategy strategy, LimitCase limitCase, long seed) {
        return LimitBench.run(strategy, limitCase, LimitFleetOptions.standard(), seed);
    }
}
