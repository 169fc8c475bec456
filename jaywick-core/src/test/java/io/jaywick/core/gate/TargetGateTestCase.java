package io.jaywick.core.gate;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.nullValue;

class TargetGateTestCase {

    private static final String ROUTE = "route";

    private final AtomicLong nanos = new AtomicLong();
    private final TargetGate gate = new TargetGate(nanos::get);
    private final List<String> started = new ArrayList<>();
    private final List<String> refused = new ArrayList<>();
    private final List<Call> atTarget = new ArrayList<>();

    private final class Call extends GateCall {
        private final String name;

        Call(String name, int priority, long objectiveMillis, long deadlineMillis, boolean trial) {
            this(name, priority, objectiveMillis, deadlineMillis, trial, false);
        }

        Call(String name, int priority, long objectiveMillis, long deadlineMillis, boolean trial, boolean foreign) {
            this(name, urgency(ROUTE, priority, objectiveMillis, deadlineMillis), trial, false, foreign);
        }

        Call(String name, CallUrgency urgency, boolean trial, boolean hedge, boolean foreign) {
            super(urgency, trial, hedge, foreign);
            this.name = name;
        }

        @Override
        protected void onAdmitted() {
            started.add(name);
            atTarget.add(this);
        }

        @Override
        protected void onRefused(GateRefusal reason) {
            refused.add(name + " " + reason.label());
        }
    }

    private CallUrgency urgency(String route, int priority, long objectiveMillis, long deadlineMillis) {
        return new CallUrgency(
                route,
                priority,
                nanos.get() + TimeUnit.MILLISECONDS.toNanos(objectiveMillis),
                nanos.get() + TimeUnit.MILLISECONDS.toNanos(deadlineMillis));
    }

    private Call call(String name) {
        return new Call(name, 1, 1_000, 5_000, false);
    }

    private void endRunning() {
        List<Call> ending = List.copyOf(atTarget);
        atTarget.clear();
        for (Call call : ending) {
            gate.release(call, true);
        }
    }

    private void pass(long millis) {
        nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
    }

    /** Guards against calls that wait at a draining node until it shuts down. */
    @Test
    void refusesCallsThatCannotFinishBeforeShutdown() {
        gate.setSlots(1);
        gate.submit(call("runs"));
        gate.submit(call("waits"));
        gate.setShutdownDeadline(nanos.get() + TimeUnit.MILLISECONDS.toNanos(10));
        assertThat(refused, contains("waits deadline"));
        assertThat(gate.submit(call("arrives late")), is(GateRefusal.LEAVING));
        assertThat(gate.running(), is(1));
    }

    /** Guards against a call that a draining node accepts, because a slot is free, and cuts off at its shutdown. */
    @Test
    void refusesCallsThatMayOutlastTheShutdownDespiteFreeSlot() {
        gate.setSlots(4);
        observeLongAndShortCalls();
        gate.setShutdownDeadline(nanos.get() + TimeUnit.MILLISECONDS.toNanos(1_000));
        assertThat(gate.submit(longRead("long")), is(GateRefusal.LEAVING));
        assertThat(gate.submit(shortCall("short", false)), nullValue());
    }

    /** Guards against more calls at the target than it has slots, which it would shed or never answer. */
    @Test
    void queuesCallsBeyondSlots() {
        gate.setSlots(2);
        Call first = call("1");
        assertThat(gate.submit(first), nullValue());
        assertThat(gate.submit(call("2")), nullValue());
        assertThat(gate.submit(call("3")), nullValue());
        assertThat(started, contains("1", "2"));
        gate.release(first, true);
        assertThat(started, contains("1", "2", "3"));
    }

    /** Guards against an urgent call that waits behind less urgent ones. */
    @Test
    void startsHigherPriorityFirst() {
        gate.setSlots(1);
        Call running = call("running");
        gate.submit(running);
        gate.submit(new Call("low", 2, 1_000, 5_000, false));
        gate.submit(new Call("high", 0, 1_000, 5_000, false));
        gate.release(running, true);
        assertThat(started, contains("running", "high"));
    }

    /** Guards against calls that already miss their objective and delay those that could still meet theirs. */
    @Test
    void startsCallsThatCanMeetTheirObjectiveBeforeLateOnes() {
        gate.setSlots(1);
        Call running = call("running");
        gate.submit(running);
        gate.submit(new Call("late", 1, 1, 5_000, false));
        gate.submit(new Call("in time", 1, 400, 5_000, false));
        pass(50);
        gate.release(running, true);
        assertThat(started, contains("running", "in time"));
    }

    /** Guards against a caller that waits at a saturated target in a burst instead of trying another instance. */
    @Test
    void refusesTrialAttemptThatWouldMissItsObjective() {
        gate.setSlots(1);
        gate.submit(call("running"));
        gate.submit(call("waiting"));
        assertThat(gate.submit(new Call("trial", 1, 60, 5_000, true)), is(GateRefusal.BUSY));
        assertThat(gate.submit(new Call("last resort", 1, 60, 5_000, false)), nullValue());
    }

    /**
     * Guards against a queue that admits more calls than it can serve in a burst, because late ones are not counted.
     */
    @Test
    void countsLateCallsInWait() {
        gate.setSlots(1);
        gate.submit(call("running"));
        for (int i = 0; i < 25; i++) {
            assertThat(gate.submit(new Call("late " + i, 1, 1, 1_400, false)), nullValue());
        }
        pass(100);
        assertThat(gate.submit(new Call("unanswerable", 1, 400, 1_310, false)), is(GateRefusal.OVERLOADED));
        assertThat(gate.submit(new Call("answerable", 1, 400, 1_400, false)), nullValue());
    }

    /** Guards against regions that exchange calls over paid links in a burst in all regions. */
    @Test
    void trialAttemptsFromOtherRegionsLeaveSlotsForLocalRegion() {
        gate.setSlots(4);
        for (int i = 0; i < 3; i++) {
            assertThat(gate.submit(new Call("foreign " + i, 1, 1_000, 5_000, true, true)), nullValue());
        }
        assertThat(gate.submit(new Call("foreign", 1, 1_000, 5_000, true, true)), is(GateRefusal.BUSY));
        assertThat(gate.submit(new Call("own", 1, 1_000, 5_000, true, false)), nullValue());
        assertThat(gate.submit(new Call("last resort", 1, 1_000, 5_000, false, true)), nullValue());
    }

    private Call hedge(String name) {
        return new Call(name, urgency(ROUTE, 1, 1_000, 5_000), true, true, false);
    }

    /** Guards against hedges that use the slots and the cold-start budget that original calls need (power_off_all). */
    @Test
    void hedgesUseOnlySpareSlotsOfWarmTarget() {
        gate.setSlots(4);
        for (int i = 0; i < 3; i++) {
            assertThat(gate.submit(hedge("hedge " + i)), nullValue());
        }
        assertThat(gate.submit(hedge("hedge")), is(GateRefusal.BUSY));
        assertThat(gate.submit(call("first")), nullValue());
        endRunning();
        gate.setColdStartLimit(TimeUnit.SECONDS.toNanos(60), 10);
        assertThat(gate.submit(hedge("hedge at a cold target")), is(GateRefusal.BUSY));
        assertThat(gate.submit(call("first at a cold target")), nullValue());
    }

    /** Guards against one long call among short ones that, at low load, diverts the next calls to another region. */
    @Test
    void oneLongCallDoesNotBlockFreeSlot() {
        gate.setSlots(4);
        for (int i = 0; i < 50; i++) {
            Call call = call("short");
            gate.submit(call);
            pass(i == 49 ? 2_000 : 90);
            gate.release(call, true);
        }
        gate.submit(call("running"));
        assertThat(gate.submit(new Call("trial", 1, 110, 800, true)), nullValue());
    }

    /** Guards against trial attempts that are still admitted to a target that has become slow (srv_slow). */
    @Test
    void detectsSlowTargetAfterFewCalls() {
        gate.setSlots(4);
        for (int i = 0; i < 50; i++) {
            Call call = call("short");
            gate.submit(call);
            pass(i < 30 ? 90 : 450);
            gate.release(call, true);
        }
        gate.submit(call("running"));
        assertThat(gate.submit(new Call("trial", 1, 110, 800, true)), is(GateRefusal.BUSY));
    }

    /**
     * Guards against a slow target that is not detected because callers abandon their calls before it answers
     * (srv_slow).
     */
    @Test
    void detectsSlowTargetByAbandonedCalls() {
        gate.setSlots(4);
        for (int i = 0; i < 50; i++) {
            Call call = call("short");
            gate.submit(call);
            pass(i < 30 ? 90 : 450);
            gate.release(call, i < 30);
        }
        gate.submit(call("running"));
        assertThat(gate.submit(new Call("trial", 1, 110, 800, true)), is(GateRefusal.BUSY));
    }

    /** Guards against a slow target that is avoided for ever because its recovery is not observed. */
    @Test
    void idleTargetAcceptsTrialAttemptAlthoughItWasSlow() {
        Call slow = call("slow");
        gate.submit(slow);
        pass(60_000);
        gate.release(slow, true);
        assertThat(gate.submit(new Call("trial", 1, 60, 5_000, true)), nullValue());
    }

    /** Guards against a call that waits until its deadline although it cannot be served in time. */
    @Test
    void refusesCallThatWouldMissItsDeadlineAtOnce() {
        gate.setSlots(1);
        gate.submit(call("running"));
        for (int i = 0; i < 20; i++) {
            gate.submit(new Call("urgent " + i, 0, 1_000, 5_000, false));
        }
        assertThat(gate.submit(new Call("unanswerable", 1, 100, 300, false)), is(GateRefusal.OVERLOADED));
    }

    /** Guards against the execution of calls whose deadline passed while they waited. */
    @Test
    void removesExpiredCallsFromQueue() {
        gate.setSlots(1);
        gate.submit(call("running"));
        gate.submit(new Call("short", 1, 100, 200, false));
        pass(200);
        gate.dispatch();
        assertThat(refused, contains("short deadline"));
    }

    /**
     * Guards against an overloaded cold target: in any second it receives at most the calls that it sustains
     * (cold_return).
     */
    @Test
    void limitsRateOfColdTargetInAnySecond() {
        gate.setSlots(100);
        gate.setColdStartLimit(TimeUnit.SECONDS.toNanos(60), 14);
        Random random = new Random(3);
        List<Long> starts = new ArrayList<>();
        while (nanos.get() < TimeUnit.SECONDS.toNanos(20)) {
            pass(random.nextInt(20));
            Call call = call("c");
            int before = started.size();
            gate.submit(call);
            gate.dispatch();
            for (int i = before; i < started.size(); i++) {
                starts.add(nanos.get());
            }
            endRunning();
        }
        assertThat(starts.size(), greaterThan(200));
        for (int i = 0; i < starts.size(); i++) {
            int inWindow = 0;
            for (int j = i; j < starts.size() && starts.get(j) - starts.get(i) < TimeUnit.SECONDS.toNanos(1); j++) {
                inWindow++;
            }
            assertThat(inWindow, lessThanOrEqualTo(14));
        }
    }

    /**
     * Guards against an unused cold-start budget when all targets restart cold under the load of all nodes
     * (power_off_all). Calls without another instance wait within their deadlines, so that the budget of each second is
     * used; the remaining ones are refused at once.
     */
    @Test
    void lastResortAttemptsWaitForColdStartBudget() {
        gate.setSlots(100);
        gate.setColdStartLimit(TimeUnit.SECONDS.toNanos(60), 10);
        int refusals = 0;
        for (int i = 0; i < 40; i++) {
            GateRefusal refusal = gate.submit(new Call("c" + i, 1, 500, 2_500, false));
            if (refusal != null) {
                assertThat(refusal, is(GateRefusal.COLD));
                refusals++;
            }
        }
        assertThat(started.size(), is(10));
        assertThat(refusals, is(40 - started.size() - gate.waiting()));
        assertThat(gate.waiting(), is(20));
        for (int i = 0; i < 25; i++) {
            pass(100);
            gate.dispatch();
        }
        assertThat(started.size(), is(30));
        assertThat(refused, empty());
    }

    /**
     * Guards against trial attempts that miss their objective while they wait for the cold-start budget (cold_return).
     */
    @Test
    void trialAttemptsDoNotWaitForColdStartBudgetBeyondObjective() {
        gate.setSlots(100);
        gate.setColdStartLimit(TimeUnit.SECONDS.toNanos(60), 1);
        gate.submit(call("first"));
        assertThat(gate.submit(new Call("trial", 1, 900, 5_000, true)), is(GateRefusal.COLD));
        assertThat(gate.submit(new Call("later objective", 1, 1_500, 5_000, true)), nullValue());
    }

    /** Guards against a wait for the cold-start budget of a target that turns warm sooner. */
    @Test
    void waitEndsWhenTargetTurnsWarm() {
        gate.setSlots(100);
        gate.setColdStartLimit(TimeUnit.MILLISECONDS.toNanos(200), 1);
        gate.submit(call("first"));
        assertThat(gate.waitMillis(urgency(ROUTE, 1, 1_000, 5_000)), is(200L));
    }

    /** Submits a call every few milliseconds, which ends before the next one, and returns the times of the starts. */
    private List<Long> startsOfFrequentCalls(int seconds) {
        Random random = new Random(3);
        List<Long> starts = new ArrayList<>();
        long endNanos = nanos.get() + TimeUnit.SECONDS.toNanos(seconds);
        while (nanos.get() < endNanos) {
            pass(random.nextInt(20));
            int before = started.size();
            gate.submit(call("c"));
            gate.dispatch();
            for (int i = before; i < started.size(); i++) {
                starts.add(nanos.get());
            }
            endRunning();
        }
        return starts;
    }

    private static int mostWithin(List<Long> times, long nanos) {
        int most = 0;
        for (long first : times) {
            most = Math.max(most, (int) times.stream()
                    .filter(time -> time >= first && time - first < nanos)
                    .count());
        }
        return most;
    }

    /** Guards against calls beyond the limit that a target names; here 94 calls in 4 s were allowed and 138 arrived. */
    @Test
    void limitsRateToWhatTheTargetNames() {
        gate.setSlots(100);
        startsOfFrequentCalls(2);
        gate.setRateLimit(14.9);
        List<Long> starts = startsOfFrequentCalls(20);
        assertThat(mostWithin(starts, TimeUnit.SECONDS.toNanos(1)), lessThanOrEqualTo(15));
        assertThat(mostWithin(starts, TimeUnit.SECONDS.toNanos(4)), lessThanOrEqualTo(60));
        assertThat(starts.size(), greaterThan(260));
        assertThat(starts.size(), lessThanOrEqualTo(298));
    }

    /** Guards against a limit that is first exceeded because the calls before it do not count. */
    @Test
    void callsBeforeTheLimitCount() {
        gate.setSlots(100);
        for (int i = 0; i < 20; i++) {
            gate.submit(call("before " + i));
            endRunning();
        }
        gate.setRateLimit(10);
        assertThat(gate.submit(new Call("trial", 1, 500, 5_000, true)), is(GateRefusal.RATE_LIMITED));
        pass(999);
        assertThat(gate.waitMillis(urgency(ROUTE, 1, 500, 5_000)), is(1L));
        pass(1);
        assertThat(gate.submit(new Call("trial", 1, 500, 5_000, true)), nullValue());
    }

    /** Guards against a limit below one call per second that lets no call or too many through. */
    @Test
    void limitBelowOneCallPerSecond() {
        gate.setSlots(100);
        gate.setRateLimit(0.5);
        assertThat(gate.submit(call("first")), nullValue());
        assertThat(gate.waitMillis(urgency(ROUTE, 1, 1_000, 5_000)), is(2_000L));
        assertThat(gate.submit(new Call("in time", 1, 1_000, 5_000, false)), nullValue());
        assertThat(gate.submit(new Call("too late", 1, 1_000, 3_500, false)), is(GateRefusal.RATE_LIMITED));
        pass(1_999);
        gate.dispatch();
        assertThat(started, contains("first"));
        pass(1);
        gate.dispatch();
        assertThat(started, contains("first", "in time"));
    }

    /** Guards against a target that names 0 and receives no call that could show the end of the limit. */
    @Test
    void limitOfZeroLetsSomeCallsThrough() {
        gate.setSlots(100);
        gate.setRateLimit(0);
        List<Long> starts = startsOfFrequentCalls(20);
        assertThat(starts.size(), is(5));
        assertThat(mostWithin(starts, TimeUnit.SECONDS.toNanos(4)), is(1));
    }

    /** Guards against calls that wait for a limit that has ended. */
    @Test
    void waitingCallsStartWhenTheLimitEnds() {
        gate.setSlots(100);
        gate.setRateLimit(1);
        gate.submit(call("first"));
        gate.submit(call("second"));
        assertThat(started, contains("first"));
        gate.removeRateLimit();
        assertThat(started, contains("first", "second"));
        assertThat(gate.waitMillis(urgency(ROUTE, 1, 1_000, 5_000)), is(0L));
    }

    /** Guards against a limit that replaces the one of a cold target, or the other way round, when it is higher. */
    @Test
    void lowerOfLimitAndColdStartBudgetApplies() {
        gate.setSlots(100);
        gate.setColdStartLimit(nanos.get() + TimeUnit.SECONDS.toNanos(10), 5);
        gate.setRateLimit(20);
        assertThat(mostWithin(startsOfFrequentCalls(5), TimeUnit.SECONDS.toNanos(1)), is(5));
        assertThat(gate.submit(new Call("trial", 1, 10, 5_000, true)), is(GateRefusal.COLD));
        gate.setRateLimit(3);
        pass(2_000);
        assertThat(mostWithin(startsOfFrequentCalls(2), TimeUnit.SECONDS.toNanos(1)), is(3));
        pass(2_000);
        assertThat(gate.isCold(), is(false));
        assertThat(mostWithin(startsOfFrequentCalls(5), TimeUnit.SECONDS.toNanos(1)), is(3));
    }

    /** Guards against hedges that use up the limit that original calls need. */
    @Test
    void limitedTargetRefusesHedges() {
        gate.setSlots(4);
        gate.setRateLimit(10);
        assertThat(gate.submit(hedge("hedge")), is(GateRefusal.RATE_LIMITED));
        assertThat(gate.submit(call("first")), nullValue());
    }

    /** Guards against a waiting call that learns only at its deadline that a new limit makes it too late. */
    @Test
    void newLimitRefusesWaitingCallsThatItMakesLate() {
        gate.setSlots(1);
        Call running = call("running");
        gate.submit(running);
        gate.submit(new Call("waiting", 1, 500, 1_000, false));
        gate.setRateLimit(0.5);
        assertThat(refused, contains("waiting deadline"));
    }

    /** Guards against a call that, overtaken by more urgent ones in a burst, is refused only at its deadline. */
    @Test
    void refusesOvertakenCallBeforeItsDeadline() {
        gate.setSlots(1);
        gate.submit(call("running"));
        assertThat(gate.submit(new Call("overtaken", 2, 300, 1_000, false)), nullValue());
        for (int i = 0; i < 40; i++) {
            gate.submit(new Call("urgent " + i, 0, 3_000, 5_000, false));
        }
        gate.dispatch();
        assertThat(refused, contains("overtaken deadline"));
    }

    private static final String LONG_ROUTE = "long reads";
    private static final String SHORT_ROUTE = "short internal calls";

    private Call longRead(String name) {
        return new Call(name, urgency(LONG_ROUTE, 2, 2_500, 8_000), false, false, false);
    }

    private Call shortCall(String name, boolean trial) {
        return new Call(name, urgency(SHORT_ROUTE, 2, 200, 600), trial, false, false);
    }

    /** Lets the gate observe service times of 900 and 50 ms, of which the short ones are far more frequent. */
    private void observeLongAndShortCalls() {
        for (int i = 0; i < 50; i++) {
            gate.submit(i % 10 == 0 ? longRead("observed") : shortCall("observed", false));
            pass(i % 10 == 0 ? 900 : 50);
            endRunning();
        }
        started.clear();
    }

    /**
     * Pattern: short internal calls beside long reads. Guards against short calls that are refused because the work of
     * long ones that wait, which start later, is counted as ahead of them.
     */
    @Test
    void longReadsThatWaitDoNotTurnShortCallsAway() {
        gate.setSlots(4);
        observeLongAndShortCalls();
        for (int i = 0; i < 12; i++) {
            gate.submit(longRead("read " + i));
        }
        assertThat(gate.submit(shortCall("short", false)), nullValue());
        assertThat(gate.waitMillis(urgency(SHORT_ROUTE, 2, 200, 600)), lessThanOrEqualTo(600L));
        assertThat(gate.waitMillis(urgency(LONG_ROUTE, 2, 2_500, 8_000)), greaterThan(1_000L));
        started.clear();
        gate.release(atTarget.get(0), true);
        assertThat(started, contains("short"));
    }

    /**
     * Pattern: short internal calls beside long reads. Guards against a trial attempt of a short call at a target whose
     * slots are taken by long ones, where it would wait for the end of a long call.
     */
    @Test
    void waitForSlotDependsOnRunningCalls() {
        gate.setSlots(2);
        observeLongAndShortCalls();
        gate.submit(new Call("urgent read 1", urgency(LONG_ROUTE, 0, 2_500, 8_000), false, false, false));
        gate.submit(new Call("urgent read 2", urgency(LONG_ROUTE, 0, 2_500, 8_000), false, false, false));
        assertThat(gate.waitMillis(urgency(SHORT_ROUTE, 2, 200, 600)), greaterThan(300L));
        assertThat(gate.submit(shortCall("short", true)), is(GateRefusal.BUSY));
    }

    /** Guards against slots and queue positions that stay occupied by calls of disconnected callers. */
    @Test
    void cancelledCallsReleaseSlotAndQueuePosition() {
        gate.setSlots(1);
        Call running = call("running");
        gate.submit(running);
        Call waiting = call("waiting");
        gate.submit(waiting);
        gate.cancel(waiting);
        gate.release(running, false);
        assertThat(gate.running(), is(0));
        assertThat(gate.waiting(), is(0));
        assertThat(started, contains("running"));
    }
}
