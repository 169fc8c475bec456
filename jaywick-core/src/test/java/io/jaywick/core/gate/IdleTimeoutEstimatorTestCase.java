package io.jaywick.core.gate;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class IdleTimeoutEstimatorTestCase {

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final IdleTimeoutEstimator estimator = new IdleTimeoutEstimator();

    /**
     * Guards against the loss of a call that must not run twice on a connection that the target has probably dropped.
     */
    @Test
    void resetAfterIdleTimeLowersLimit() {
        assertThat(estimator.allowsReuse(5_000, 0), is(true));
        estimator.recordReset(400, 1, 0);
        assertThat(estimator.allowsReuse(400, 0), is(false));
        assertThat(estimator.allowsReuse(320, 0), is(false));
        assertThat(estimator.allowsReuse(100, 0), is(true));
    }

    @Test
    void laterResetsDoNotRaiseLimit() {
        estimator.recordReset(400, 1, 0);
        estimator.recordReset(4_000, 1, NANOS_PER_MILLI);
        assertThat(estimator.allowsReuse(300, NANOS_PER_MILLI), is(false));
    }

    /** Guards against a new connection for each call after a busy target crashed or reset a running call. */
    @Test
    void ignoresResetsOfBusyConnectionsAndRunningCalls() {
        estimator.recordReset(5, 1, 0);
        estimator.recordReset(2_000, 80, 0);
        assertThat(estimator.allowsReuse(2_000, 0), is(true));
    }

    /** Guards against new connections for ever after a fault of the target has ended. */
    @Test
    void estimateExpires() {
        estimator.recordReset(400, 1, 0);
        assertThat(estimator.allowsReuse(1_000, 20_000 * NANOS_PER_MILLI), is(true));
    }
}
