package io.jaywick.core.limits;

import java.util.concurrent.TimeUnit;

import io.jaywick.core.message.QuotaRequest;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class HolderLedgerTestCase {

    private static final long PERIOD_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final HolderLedger.HolderDemand IDLE_HOLDER = new HolderLedger.HolderDemand(100, 0, 0);

    private final HolderLedger ledger = new HolderLedger(PERIOD_NANOS);

    /** Guards against a holder that reuses granted quota while its receiver may still use it. */
    @Test
    void quotaIsFreeOneWindowAfterTheGrantEnds() {
        decide("a", 1, 1, 60, 0, IDLE_HOLDER, 0);
        long end = LimitTiming.withDriftMargin(PERIOD_NANOS);
        assertThat(ledger.freeCalls(100, WINDOW_NANOS, end + WINDOW_NANOS - 1), equalTo(40));
        assertThat(ledger.freeCalls(100, WINDOW_NANOS, end + WINDOW_NANOS), equalTo(100));
    }

    /** Guards against a duplicated request that is debited twice. */
    @Test
    void duplicateRequestGetsTheSameAnswer() {
        HolderLedger.Decision first = decide("a", 1, 5, 60, 0, IDLE_HOLDER, 0);
        assertThat(decide("a", 1, 5, 60, 0, IDLE_HOLDER, 9), equalTo(first));
        assertThat(ledger.freeCalls(100, WINDOW_NANOS, 9), equalTo(40));
    }

    /** Guards against a reordered request that overrides a newer one. */
    @Test
    void overtakenRequestChangesNothing() {
        decide("a", 1, 6, 60, 0, IDLE_HOLDER, 0);
        assertThat(decide("a", 1, 5, 100, 0, IDLE_HOLDER, 1), equalTo(HolderLedger.Decision.NONE));
        assertThat(ledger.freeCalls(100, WINDOW_NANOS, 1), equalTo(40));
    }

    /** Guards against freeing a grant when its receiver restarts: the earlier process may use it until its end. */
    @Test
    void grantOfAnEarlierProcessStaysCommittedUntilItsEnd() {
        decide("a", 1, 9, 60, 0, IDLE_HOLDER, 0);
        decide("a", 2, 1, 0, 0, IDLE_HOLDER, 5);
        long end = LimitTiming.withDriftMargin(PERIOD_NANOS);
        assertThat(ledger.freeCalls(100, WINDOW_NANOS, end + WINDOW_NANOS - 1), equalTo(40));
    }

    /** Guards against granting calls for immediate use that the holder itself admitted within the last window. */
    @Test
    void callsUsedByTheHolderAreNotReady() {
        HolderLedger.Decision decision = decide("a", 1, 1, 100, 0, new HolderLedger.HolderDemand(100, 0, 70), 0);
        assertThat(decision, equalTo(new HolderLedger.Decision(100, 30)));
    }

    /** Guards against trusting a count of idle calls from a receiver that has not seen the last decision. */
    @Test
    void idleClaimOnAnUnseenAnswerCoolsDownForOneWindow() {
        decide("a", 1, 1, 60, 0, IDLE_HOLDER, 0);
        QuotaRequest claim = new QuotaRequest("a", 1, 2, "p", 1, 0, 10_000, 0, 60, 99, "h");
        ledger.decide(claim, IDLE_HOLDER, WINDOW_NANOS, 1);
        assertThat(ledger.freeCalls(100, WINDOW_NANOS, 1), equalTo(40));
    }

    /**
     * Guards against granting reclaimed calls again while their receiver, which may have missed the answer, still uses
     * them.
     */
    @Test
    void reclaimedQuotaStaysCommittedUntilTheReceiverConfirms() {
        decide("a", 1, 1, 100, 0, IDLE_HOLDER, 0);
        decide("b", 1, 1, 100, 0, IDLE_HOLDER, 1);
        assertThat(decide("a", 1, 2, 100, 100, IDLE_HOLDER, 2).calls(), equalTo(50));
        assertThat(decide("b", 1, 2, 100, 0, IDLE_HOLDER, 3).calls(), equalTo(0));
        decide("a", 1, 3, 100, 50, IDLE_HOLDER, 4);
        assertThat(decide("b", 1, 3, 100, 0, IDLE_HOLDER, 5), equalTo(new HolderLedger.Decision(50, 0)));
    }

    /** Guards against granting more than the base allocation after it was reduced. */
    @Test
    void reducedAllocationIsNotGrantedAgain() {
        decide("a", 1, 1, 80, 0, IDLE_HOLDER, 0);
        HolderLedger.HolderDemand shrunk = new HolderLedger.HolderDemand(50, 0, 0);
        assertThat(decide("b", 1, 1, 50, 0, shrunk, 1).calls(), equalTo(0));
        assertThat(decide("a", 1, 2, 80, 80, shrunk, 2).calls(), lessThanOrEqualTo(50));
    }

    private HolderLedger.Decision decide(
            String from, long incarnation, long id, int want, int held, HolderLedger.HolderDemand holder, long now) {
        QuotaRequest request = new QuotaRequest(from, incarnation, id, "p", 1, want, 10_000, held, 0, 0, "h");
        return ledger.decide(request, holder, WINDOW_NANOS, now);
    }
}
