package io.jaywick.core.capacity;

import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class ServiceTimesTestCase {

    private static final String ROUTE = "route";

    private final CapacityEstimator estimator = new CapacityEstimator(8);
    private final Random random = new Random(3);
    private long nowNanos;

    private void end(String route, double millis, boolean succeeded) {
        CapacityEstimator.RunningCall call = estimator.recordStart(route, 1, nowNanos);
        nowNanos += (long) (millis * TimeUnit.MILLISECONDS.toNanos(1));
        estimator.recordEnd(call, succeeded, 0, nowNanos);
    }

    private void serve(int calls, double meanMillis) {
        for (int i = 0; i < calls; i++) {
            end(ROUTE, meanMillis * Math.exp(0.8 * random.nextGaussian() - 0.32), true);
        }
    }

    /** Guards against a rank that follows the last call: work times are log-normal with a long tail. */
    @Test
    void averageOfLogNormalTimesIsNearTheirMean() {
        double sum = 0;
        for (int i = 0; i < 100; i++) {
            serve(20, 60);
            sum += estimator.serviceMillis(ROUTE);
        }
        assertThat(sum / 100, closeTo(60, 6));
    }

    /** Guards against a server that is slow for a while and keeps its rank, before or after. */
    @Test
    void averageFollowsASlowPeriodAndItsEnd() {
        serve(100, 60);
        serve(60, 180);
        assertThat(estimator.serviceMillis(ROUTE), greaterThan(120L));
        serve(80, 60);
        assertThat(estimator.serviceMillis(ROUTE), lessThan(90L));
    }

    /** Guards against calls that are drawn to a server because it fails fast, sheds or loses answers. */
    @Test
    void fastFailuresDoNotLookFast() {
        serve(100, 60);
        long before = estimator.serviceMillis(ROUTE);
        for (int i = 0; i < 200; i++) {
            end(ROUTE, 1, false);
        }
        assertThat(estimator.serviceMillis(ROUTE), is(before));
        for (int i = 0; i < 50; i++) {
            end(ROUTE, 600, false);
        }
        assertThat(estimator.serviceMillis(ROUTE), greaterThan(2 * before));
    }

    /** Guards against a change of the traffic mix that is taken for a change of speed, and against a start. */
    @Test
    void routesAndStartsAreSeparate() {
        serve(100, 60);
        long before = estimator.serviceMillis(ROUTE);
        for (int i = 0; i < 100; i++) {
            end("long", 900, true);
        }
        assertThat(estimator.serviceMillis(ROUTE), is(before));
        assertThat(estimator.serviceMillis("long"), is(900L));
        estimator.reset();
        assertThat(estimator.serviceMillis(ROUTE), is(-1L));
    }
}
