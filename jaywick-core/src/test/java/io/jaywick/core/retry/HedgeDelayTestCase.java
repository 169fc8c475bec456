package io.jaywick.core.retry;

import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class HedgeDelayTestCase {

    private static final String ROUTE = "r";

    private final HedgeDelay delay = new HedgeDelay();
    private final Random random = new Random(7);

    private double sample(double meanMillis) {
        return meanMillis * Math.exp(0.5 * random.nextGaussian());
    }

    @Test
    void doesNotHedgeBeforeFirstAnswer() {
        assertThat(delay.delayMillis(ROUTE, 10_000), is(-1L));
    }

    /** Guards against hedges for many calls at normal load, which occupy slots of the targets. */
    @Test
    void fewAnswersAreLaterThanDelayAtNormalLoad() {
        int late = 0;
        int calls = 20_000;
        for (int i = 0; i < calls; i++) {
            double millis = sample(90);
            long hedgeMillis = delay.delayMillis(ROUTE, 10_000);
            if (hedgeMillis >= 0 && millis > hedgeMillis) {
                late++;
            }
            delay.observe(ROUTE, millis);
        }
        assertThat(late / (double) calls, lessThan(0.03));
    }

    /** Guards against hedges that double the load in a burst, when all answers take longer. */
    @Test
    void delayFollowsSlowdownOfAllTargets() {
        for (int i = 0; i < 1_000; i++) {
            delay.observe(ROUTE, sample(90));
        }
        for (int i = 0; i < 60; i++) {
            delay.observe(ROUTE, sample(450));
        }
        assertThat(delay.delayMillis(ROUTE, 10_000), greaterThan(450L));
    }

    /** Guards against a hedge whose answer would arrive after the deadline. */
    @Test
    void doesNotHedgeWithTooLittleTimeRemaining() {
        for (int i = 0; i < 2_000; i++) {
            delay.observe(ROUTE, 100);
        }
        assertThat((double) delay.delayMillis(ROUTE, 1_000), closeTo(125, 15));
        assertThat(delay.delayMillis(ROUTE, 150), is(-1L));
    }
}
