package io.jaywick.core.gate;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.jaywick.core.capacity.CapacityEstimator;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class LearnedLimitGateTestCase {

    private static final int SLOTS = 8;
    private static final int TICK_MILLIS = 5;
    private static final int SECONDS = 60;

    /** A target that answers half as many calls when all its slots are filled as when three quarters are. */
    private static final class Target {
        private final AtomicLong nanos = new AtomicLong();
        private final Random random = new Random(11);
        private final Map<Call, Double> remainingMillis = new HashMap<>();
        private final TargetGate gate;
        private int answers;
        private int mostRunning;

        Target(CapacityEstimator capacity) {
            gate = new TargetGate(nanos::get, capacity);
            gate.setSlots(SLOTS);
        }

        private final class Call extends GateCall {
            Call() {
                super(
                        new CallUrgency("route", 1, nanos.get() + 400_000_000L, nanos.get() + 2_000_000_000L),
                        false,
                        false,
                        false);
            }

            @Override
            protected void onAdmitted() {
                remainingMillis.put(this, 60 * Math.exp(0.6 * random.nextGaussian()));
                mostRunning = Math.max(mostRunning, remainingMillis.size());
            }

            @Override
            protected void onRefused(GateRefusal reason) {
                assertThat(remainingMillis.containsKey(this), is(false));
            }
        }

        void run() {
            for (int millis = 0; millis < TimeUnit.SECONDS.toMillis(SECONDS); millis += TICK_MILLIS) {
                nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(TICK_MILLIS));
                double inflation = Math.pow(1.7, Math.max(0, remainingMillis.size() - SLOTS * 3 / 4));
                remainingMillis.replaceAll((call, remaining) -> remaining - TICK_MILLIS / inflation);
                for (Call call : Map.copyOf(remainingMillis).keySet()) {
                    if (remainingMillis.get(call) <= 0) {
                        remainingMillis.remove(call);
                        answers++;
                        gate.release(call, true, true);
                    }
                }
                gate.submit(new Call());
                gate.dispatch();
            }
        }
    }

    /** Guards against a target that is filled to all its slots although it answers fewer calls then. */
    @Test
    void gateFillsOnlyWhatTheTargetRunsWell() {
        CapacityEstimator capacity = new CapacityEstimator(SLOTS);
        Target learned = new Target(capacity);
        learned.run();
        Target filled = new Target(null);
        filled.run();
        assertThat(capacity.limit(), lessThan(SLOTS));
        assertThat(learned.mostRunning, lessThanOrEqualTo(SLOTS));
        assertThat((double) learned.answers / filled.answers, greaterThan(1.3));
    }
}
