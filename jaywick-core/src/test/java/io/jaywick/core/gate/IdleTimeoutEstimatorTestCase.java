package io.jaywick.core.gate;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class IdleTimeoutEstimatorTestCase {

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final IdleTimeoutEstimator limit = new IdleTimeoutEstimator();

    /** Guards against an unsafe call on a connection that the target has probably forgotten. */
    @Test
    void resetAfterAnIdleTimeBarsSuchIdleTimes() {
        assertThat(limit.allowsReuse(5_000, 0), is(true));
        limit.recordReset(400, 1, 0);
        assertThat(limit.allowsReuse(400, 0), is(false));
        assertThat(limit.allowsReuse(320, 0), is(false));
        assertThat(limit.allowsReuse(100, 0), is(true));
    }

    @Test
    void laterLossesOnlyTightenTheLimit() {
        limit.recordReset(400, 1, 0);
        limit.recordReset(4_000, 1, NANOS_PER_MILLI);
        assertThat(limit.allowsReuse(300, NANOS_PER_MILLI), is(false));
    }

    /** Guards against a new connection for each call because a busy target crashed or reset a running call. */
    @Test
    void lossesOfBusyConnectionsAndRunningCallsSayNothing() {
        limit.recordReset(5, 1, 0);
        limit.recordReset(2_000, 80, 0);
        assertThat(limit.allowsReuse(2_000, 0), is(true));
    }

    /** Guards against new connections for ever after trouble that has ended. */
    @Test
    void limitIsForgotten() {
        limit.recordReset(400, 1, 0);
        assertThat(limit.allowsReuse(1_000, 20_000 * NANOS_PER_MILLI), is(true));
    }
}
