package io.jaywick.core.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import io.jaywick.core.routing.RefusalReason;
import io.jaywick.core.routing.Tables;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class AdmissionControllerTestCase {

    private static final String FIXED_SEED = "20261204";
    private static final long MILLI = 1_000_000;
    private static final String SERVER = "x-a1-0";

    private long now;

    static final class Call extends QueuedCall {
        boolean admitted;
        RefusalReason refused;

        Call(String party, int share, int importance, long deadlineNanos) {
            super(party, share, importance, importance, deadlineNanos);
        }

        @Override
        protected void onAdmitted() {
            admitted = true;
        }

        @Override
        protected void onRefused(RefusalReason reason) {
            refused = reason;
        }
    }

    private AdmissionController admission(int queue, long rampMillis) {
        AdmissionController admission = new AdmissionController(SERVER, queue, rampMillis, () -> now);
        admission.activate(Tables.table(Map.of("x", 100), 1, Set.of(), true, Set.of()));
        return admission;
    }

    private Call submit(AdmissionController admission, String party) {
        Call call = new Call(party, 50, 1, now + 1_000 * MILLI);
        admission.submit(call);
        return call;
    }

    /** Guards against a cold target that runs more calls than its cold-start calls and its answers allow (I4). */
    @Property(tries = 200, seed = FIXED_SEED)
    void coldTargetIsNeverOverloaded(@ForAll Random random) {
        AdmissionController admission = admission(4, 0);
        int capacity = Tables.COLD_START_CALLS;
        List<Call> running = new ArrayList<>();
        List<Call> queued = new ArrayList<>();
        int naiveRunning = 0;
        int naiveWorst = 0;
        for (int step = 0; step < 200; step++) {
            now += MILLI;
            if (random.nextInt(3) > 0 || running.isEmpty()) {
                queued.add(submit(admission, "p" + random.nextInt(3)));
                naiveRunning++;
                naiveWorst = Math.max(naiveWorst, naiveRunning - capacity);
            } else {
                running.remove(random.nextInt(running.size()));
                naiveRunning--;
                boolean lost = random.nextInt(20) == 0;
                capacity = lost ? Tables.COLD_START_CALLS : Math.min(Tables.SLOTS, capacity + 1);
                if (lost) {
                    admission.recordTargetLoss();
                    capacity = Math.max(capacity, running.size());
                } else {
                    admission.recordAnswer("r", now - MILLI);
                }
                admission.release();
            }
            for (Call call : List.copyOf(queued)) {
                if (call.admitted) {
                    running.add(call);
                }
                if (call.admitted || call.refused != null) {
                    queued.remove(call);
                }
            }
            assertThat(running.size(), is(admission.inFlight()));
            assertThat(running.size(), lessThanOrEqualTo(capacity));
            assertThat(queued.size(), is(admission.queued()));
        }
        assertThat(naiveWorst, greaterThanOrEqualTo(1));
    }

    /**
     * Guards against a slot that is held after its call has ended, and against calls that wait while a slot is free.
     */
    @Property(tries = 100, seed = FIXED_SEED)
    void everySubmittedCallEndsInOneWay(@ForAll Random random) {
        AdmissionController admission = admission(random.nextInt(6), 0);
        List<Call> calls = new ArrayList<>();
        List<Call> open = new ArrayList<>();
        for (int step = 0; step < 300; step++) {
            now += MILLI;
            Call call = open.isEmpty() || random.nextBoolean() ? null : open.get(random.nextInt(open.size()));
            if (call == null) {
                Call submitted =
                        new Call("p" + random.nextInt(4), 25, random.nextInt(3), now + random.nextInt(20) * MILLI);
                calls.add(submitted);
                open.add(submitted);
                admission.submit(submitted);
            } else if (call.admitted) {
                admission.release();
                open.remove(call);
            } else if (random.nextBoolean() && admission.cancel(call)) {
                calls.remove(call);
                open.remove(call);
            }
            admission.dispatch();
            open.removeIf(one -> one.refused != null);
            assertThat(admission.queued() == 0 || admission.inFlight() >= admission.limit(), is(true));
            assertThat(open.stream().filter(one -> one.admitted).count(), is((long) admission.inFlight()));
        }
        for (Call call : calls) {
            assertThat(call.admitted && call.refused != null, is(false));
        }
    }

    /** Guards against a warm target that becomes cold and keeps its full load. */
    @Test
    void suddenlySlowTargetReducesTheLimit() {
        ConcurrencyLimit limit = new ConcurrencyLimit(2, 12);
        for (int i = 0; i < 100; i++) {
            answer(limit, "r", 2);
        }
        assertThat(limit.limit(), is(12));
        for (int i = 0; i < 6; i++) {
            answer(limit, "r", 40);
        }
        assertThat(limit.limit(), is(1));
        answer(limit, "r", 2);
        assertThat(limit.limit(), is(2));
    }

    /**
     * Guards against a pause of the machine, which delays all calls in flight, that reduces the limit more than once.
     */
    @Test
    void oneDelayOfAllCallsInFlightHalvesOnce() {
        ConcurrencyLimit limit = new ConcurrencyLimit(2, 12);
        for (int i = 0; i < 100; i++) {
            answer(limit, "r", 2);
        }
        long dispatched = now;
        now += 80 * MILLI;
        for (int i = 0; i < 12; i++) {
            limit.recordAnswer("r", dispatched, now);
        }
        assertThat(limit.limit(), is(6));
    }

    private void answer(ConcurrencyLimit limit, String route, long latencyMillis) {
        long dispatched = now;
        now += latencyMillis * MILLI;
        limit.recordAnswer(route, dispatched, now);
    }

    /** Guards against a limit that collapses because two routes of one target differ in latency. */
    @Test
    void slowRouteNextToAFastOneIsNotCold() {
        ConcurrencyLimit limit = new ConcurrencyLimit(2, 12);
        for (int i = 0; i < 100; i++) {
            answer(limit, i % 2 == 0 ? "fast" : "slow", i % 2 == 0 ? 1 : 100);
        }
        assertThat(limit.limit(), is(12));
    }

    /** Guards against a target that is throttled permanently after its latency has become higher for good. */
    @Test
    void permanentlyHigherLatencyBecomesTypical() {
        ConcurrencyLimit limit = new ConcurrencyLimit(2, 12);
        for (int i = 0; i < 100; i++) {
            answer(limit, "r", 2);
        }
        for (int i = 0; i < 100; i++) {
            answer(limit, "r", 30);
        }
        assertThat(limit.limit(), is(12));
    }

    /**
     * Guards against new calls in a data centre that is out of service (I5), and against a return to service at full
     * load.
     */
    @Test
    void evacuatedDataCentreRefusesAtOnceAndReturnsGradually() {
        AdmissionController admission = admission(64, 10_000);
        for (int i = 0; i < 20; i++) {
            admission.recordAnswer("r", now - MILLI);
        }
        assertThat(admission.limit(), is(Tables.SLOTS));
        List<Call> calls = new ArrayList<>();
        for (int i = 0; i < Tables.SLOTS + 2; i++) {
            calls.add(submit(admission, "p"));
        }
        admission.activate(Tables.table(Map.of("x", 100), 1, Set.of("a1"), true, Set.of()));
        assertThat(calls.get(Tables.SLOTS).refused, is(RefusalReason.DATA_CENTRE_OUT));
        assertThat(submit(admission, "p").refused, is(RefusalReason.DATA_CENTRE_OUT));
        admission.activate(Tables.table(Map.of("x", 100), 1, Set.of(), true, Set.of()));
        int before = 0;
        for (int second = 0; second <= 10; second++) {
            assertThat(admission.limit(), greaterThanOrEqualTo(before));
            assertThat(admission.limit(), lessThanOrEqualTo(Math.max(1, Tables.SLOTS * second / 10)));
            before = admission.limit();
            now += 1_000 * MILLI;
        }
        assertThat(admission.limit(), is(Tables.SLOTS));
    }

    /** Guards against new calls at a draining target (I10) or at a node that is shutting down. */
    @Test
    void drainAndShutdownRefuseQueuedCalls() {
        AdmissionController admission = admission(64, 0);
        List<Call> calls = new ArrayList<>();
        for (int i = 0; i < Tables.COLD_START_CALLS + 1; i++) {
            calls.add(submit(admission, "p"));
        }
        admission.setTargetDraining(true);
        assertThat(calls.get(0).admitted, is(true));
        assertThat(calls.get(Tables.COLD_START_CALLS).refused, is(RefusalReason.DRAINING));
        admission.setTargetDraining(false);
        assertThat(submit(admission, "p").refused == null, is(true));
        admission.shutDown();
        assertThat(submit(admission, "p").refused, is(RefusalReason.DRAINING));
        assertThat(calls, hasSize(Tables.COLD_START_CALLS + 1));
    }
}
