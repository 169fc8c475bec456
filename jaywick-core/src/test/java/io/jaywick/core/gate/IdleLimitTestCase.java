package io.jaywick.core.gate;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class IdleLimitTestCase {

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final IdleLimit limit = new IdleLimit();

    /** Guards against an unsafe call on a connection that the target has probably forgotten. */
    @Test
    void resetAfterAnIdleTimeBarsSuchIdleTimes() {
        assertThat(limit.allows(5_000, 0), is(true));
        limit.lost(400, 1, 0);
        assertThat(limit.allows(400, 0), is(false));
        assertThat(limit.allows(320, 0), is(false));
        assertThat(limit.allows(100, 0), is(true));
    }

    @Test
    void laterLossesOnlyTightenTheLimit() {
        limit.lost(400, 1, 0);
        limit.lost(4_000, 1, NANOS_PER_MILLI);
        assertThat(limit.allows(300, NANOS_PER_MILLI), is(false));
    }

    /** Guards against a new connection for each call because a busy target crashed or reset a running call. */
    @Test
    void lossesOfBusyConnectionsAndRunningCallsSayNothing() {
        limit.lost(5, 1, 0);
        limit.lost(2_000, 80, 0);
        assertThat(limit.allows(2_000, 0), is(true));
    }

    /** Guards against new connections for ever after trouble that has ended. */
    @Test
    void limitIsForgotten() {
        limit.lost(400, 1, 0);
        assertThat(limit.allows(1_000, 20_000 * NANOS_PER_MILLI), is(true));
    }
}
