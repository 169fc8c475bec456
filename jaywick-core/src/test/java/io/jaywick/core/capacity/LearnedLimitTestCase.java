package io.jaywick.core.capacity;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.jaywick.core.capacity.SimulatedTarget.Load;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class LearnedLimitTestCase {

    private static final int SEEDS = 10;
    private static final int SECONDS = 120;
    private static final int SLOTS = 8;
    private static final double STEEP = 3;

    /** Service times grow by this factor when the last quarter of the slots is in use. */
    private static double nearlyFull(int running) {
        return running <= SLOTS * 3 / 4 ? 1 : 1 + (STEEP - 1) * (running - SLOTS * 3.0 / 4) / (SLOTS / 4.0);
    }

    /** Asserts that all slots can be used for 95 of 100 of the time, on average over the seeds. */
    private static void assertNeutral(String pattern, Consumer<SimulatedTarget> everySecond) {
        for (int slots : new int[] {4, 8, 16}) {
            for (double meanMillis : new double[] {60, 200, 500}) {
                for (double sigma : new double[] {0, 0.6, 1}) {
                    double full = 0;
                    for (int seed = 0; seed < SEEDS; seed++) {
                        SimulatedTarget target = new SimulatedTarget(slots, new Load(meanMillis, sigma), seed);
                        for (int second = 0; second < SECONDS; second++) {
                            everySecond.accept(target);
                            full += target.run(1) / SECONDS / SEEDS;
                        }
                    }
                    String load = pattern + ", slots " + slots + ", mean " + meanMillis + ", sigma " + sigma;
                    assertThat(load, full, greaterThanOrEqualTo(0.95));
                }
            }
        }
    }

    private static long second(SimulatedTarget target) {
        return TimeUnit.NANOSECONDS.toSeconds(target.nowNanos);
    }

    /** Guards against a lowered limit at a target that does equally well with all its slots in use. */
    @Test
    void targetThatDoesWellKeepsItsSlots() {
        assertNeutral("full load", target -> {});
    }

    /** Guards against a change of the traffic mix that is taken for one of the speed. */
    @Test
    void changeOfTheMixKeepsTheSlots() {
        assertNeutral("mix", target -> target.longFraction = second(target) % 20 < 10 ? 0.02 : 0.15);
    }

    /** Guards against a slow service, or a target that is slow for a while, that lowers the limit to no purpose. */
    @Test
    void slowPeriodKeepsTheSlots() {
        assertNeutral("slow for a while", target -> {
            double factor = second(target) % 15 < 5 ? 3 : 1;
            target.inflation = running -> factor;
        });
    }

    /** Guards against a target whose throughput falls because all its slots are filled. */
    @Test
    void targetThatSlowsDownWhenNearlyFullAnswersMore() {
        double factor = 0;
        double longestWithoutProbe = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedTarget target = new SimulatedTarget(SLOTS, new Load(60, 0.8), seed);
            target.inflation = LearnedLimitTestCase::nearlyFull;
            target.run(SECONDS);
            double completedWhenFull = SLOTS / STEEP * TimeUnit.SECONDS.toMillis(SECONDS);
            factor += target.completedMillis / completedWhenFull / SEEDS;
            longestWithoutProbe = Math.max(longestWithoutProbe, target.longestSecondsWithoutProbe());
        }
        assertThat("throughput against that with all slots filled", factor, greaterThan(1.6));
        assertThat("seconds without an upward probe", longestWithoutProbe, lessThan(2.5));
    }

    /** Guards against one bad time that lowers the limit for good. */
    @Test
    void recoveredTargetGetsItsSlotsBack() {
        double full = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedTarget target = new SimulatedTarget(SLOTS, new Load(60, 0.8), seed);
            target.inflation = LearnedLimitTestCase::nearlyFull;
            target.run(30);
            target.inflation = running -> 1;
            target.run(8);
            full += target.run(30) / SEEDS;
        }
        assertThat(full, greaterThan(0.9));
    }

    private static SimulatedTarget loweredTarget() {
        SimulatedTarget target = new SimulatedTarget(SLOTS, new Load(60, 0), 1);
        target.inflation = LearnedLimitTestCase::nearlyFull;
        target.run(20);
        assertThat(target.estimator.limit(), lessThan(SLOTS));
        return target;
    }

    /** Guards against a restarted or cold target that starts with the limit of the process before it. */
    @Test
    void restartAndColdStartDiscardTheLimit() {
        SimulatedTarget restarted = loweredTarget();
        restarted.estimator.reset();
        assertThat(restarted.estimator.limit(), is(SLOTS));
        assertThat(restarted.estimator.serviceMillis("short"), is(-1L));
        SimulatedTarget cold = loweredTarget();
        cold.estimator.discardLimit();
        assertThat(cold.estimator.limitNow(cold.nowNanos), is(SLOTS));
    }

    /** Guards against a pause of the node that is taken for the speed of the target. */
    @Test
    void pauseIsNoServiceTime() {
        SimulatedTarget target = loweredTarget();
        long before = target.estimator.serviceMillis("short");
        target.nowNanos += TimeUnit.SECONDS.toNanos(5);
        target.run(0.005);
        assertThat(target.estimator.limit(), is(SLOTS));
        assertThat(target.estimator.serviceMillis("short"), is(before));
    }

    /** Guards against a target that is reduced to almost nothing, and one with two slots that loses one. */
    @Test
    void limitStaysAboveTheFloor() {
        for (int slots : new int[] {1, 2, 16}) {
            SimulatedTarget target = new SimulatedTarget(slots, new Load(60, 0), 1);
            target.inflation = running -> Math.pow(running, 3);
            target.run(60);
            assertThat(target.estimator.limit(), greaterThanOrEqualTo(slots <= 2 ? slots : slots / 4));
        }
    }
}
