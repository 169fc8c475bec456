package io.jaywick.core.limits;

import java.util.concurrent.TimeUnit;

import io.jaywick.core.message.QuotaGrant;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

class QuotaLeaseTestCase {

    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long WINDOW_NANOS = 2 * SECOND_NANOS;

    private final QuotaLease lease = new QuotaLease(10 * SECOND_NANOS);

    /** Guards against using quota while calls that the holder admitted in the last window still count. */
    @Test
    void grantIsUsableOneWindowAfterItArrives() {
        recordRequest(1, 50, 0);
        applyGrant(1, 50, 10, SECOND_NANOS);
        assertThat(lease.usableCalls(SECOND_NANOS), equalTo(10));
        assertThat(lease.usableCalls(SECOND_NANOS + WINDOW_NANOS - 1), equalTo(10));
        assertThat(lease.usableCalls(SECOND_NANOS + WINDOW_NANOS), equalTo(50));
    }

    /** Guards against a grant period that is counted from the arrival of a late answer. */
    @Test
    void grantEndsOnePeriodAfterTheRequest() {
        recordRequest(1, 50, 0);
        applyGrant(1, 50, 50, 9 * SECOND_NANOS);
        assertThat(lease.usableCalls(10 * SECOND_NANOS - 1), equalTo(50));
        assertThat(lease.usableCalls(10 * SECOND_NANOS), equalTo(0));
    }

    /** Guards against a duplicated answer that is credited twice. */
    @Test
    void duplicateAnswerIsIgnored() {
        recordRequest(1, 50, 0);
        applyGrant(1, 50, 50, 1);
        applyGrant(1, 50, 50, 2);
        assertThat(lease.usableCalls(3), equalTo(50));
    }

    /** Guards against applying the answer to a request that a newer request has replaced. */
    @Test
    void answerToAnOlderRequestIsIgnored() {
        recordRequest(1, 50, 0);
        recordRequest(2, 50, SECOND_NANOS);
        applyGrant(1, 50, 50, 2 * SECOND_NANOS);
        assertThat(lease.usableCalls(2 * SECOND_NANOS), equalTo(0));
    }

    /**
     * Guards against a paused receiver that applies a renewal after the end of its grant without waiting one window.
     */
    @Test
    void renewalAfterTheEndWaitsAWindowAgain() {
        recordRequest(1, 50, 0);
        applyGrant(1, 50, 50, 1);
        recordRequest(2, 50, 9 * SECOND_NANOS);
        applyGrant(2, 50, 0, 11 * SECOND_NANOS);
        assertThat(lease.usableCalls(11 * SECOND_NANOS), equalTo(0));
        assertThat(lease.usableCalls(11 * SECOND_NANOS + WINDOW_NANOS), equalTo(50));
    }

    /** Guards against a renewal that interrupts the use of the same quota. */
    @Test
    void renewalExtendsTheUse() {
        recordRequest(1, 50, 0);
        applyGrant(1, 50, 50, 1);
        recordRequest(2, 50, 5 * SECOND_NANOS);
        applyGrant(2, 50, 0, 6 * SECOND_NANOS);
        assertThat(lease.usableCalls(14 * SECOND_NANOS), equalTo(50));
    }

    /** Guards against using quota after a request has reported to the holder that it is unused. */
    @Test
    void usageIsReducedBeforeTheRequestReportsIt() {
        recordRequest(1, 50, 0);
        applyGrant(1, 50, 50, 1);
        lease.recordRequest(2, 0, 0, 30, SECOND_NANOS);
        assertThat(lease.usableCalls(SECOND_NANOS), equalTo(0));
        assertThat(lease.releasedIdleCalls(), equalTo(30));
    }

    private void recordRequest(long id, int wantedCalls, long nowNanos) {
        lease.recordRequest(id, wantedCalls, wantedCalls, 0, nowNanos);
    }

    private void applyGrant(long id, int calls, int readyCalls, long nowNanos) {
        lease.applyGrant(new QuotaGrant("h", 1, id, "p", calls, 10_000, readyCalls, 0), 0, WINDOW_NANOS, nowNanos);
    }
}
