package io.jaywick.core.gate;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * Admits calls to the target beside the node. It holds no more calls at the target than the target has slots; further
 * ones wait by priority and then by latency objective. A call that cannot be answered before its deadline is refused
 * at once, and a trial call as soon as it would miss its objective, so that the caller can go elsewhere. Not
 * thread-safe.
 */
public final class TargetGate {

    /** Slots assumed until the target's entry is known. */
    private static final int INITIAL_SLOTS = 4;

    /**
     * Slots that hedges and trial calls of other regions may fill. In a burst on all regions each would otherwise take the
     * others' calls and send its own away, over the links that are paid for.
     */
    private static final double SPARE_FRACTION = 0.75;

    /**
     * A free slot is refused only when the call would take twice its objective. Estimates are rough, and a call that is
     * a little late here costs less than one that travels to another region.
     */
    private static final double FREE_SLOT_TOLERANCE = 1.0;

    /** Memory bound of the queue; the deadlines of the calls keep it far shorter. */
    private static final int MAX_WAITING = 512;

    private static final double NANOS_PER_MILLI = 1_000_000;

    private final LongSupplier nanoTime;
    private final StartRateWindow recentStarts = new StartRateWindow();
    private final ServiceTimes serviceTimes = new ServiceTimes();
    private final List<GateCall> waiting = new ArrayList<>();
    private int slots = INITIAL_SLOTS;
    private int running;
    private boolean cold;
    private long coldUntilNanos;
    private double coldCallsPerSecond;
    private boolean hasShutdownDeadline;
    private long shutdownNanos;

    public TargetGate(LongSupplier nanoTime) {
        this.nanoTime = nanoTime;
    }

    public void setSlots(int slots) {
        this.slots = Math.max(1, slots);
        dispatch();
    }

    /** The node ends at the given moment: waiting calls that cannot be answered before are refused at once. */
    public void setShutdownDeadline(long deadlineNanos) {
        hasShutdownDeadline = true;
        shutdownNanos = deadlineNanos;
        dispatch();
    }

    private long effectiveDeadlineNanos(GateCall call) {
        return hasShutdownDeadline && shutdownNanos - call.deadlineNanos < 0 ? shutdownNanos : call.deadlineNanos;
    }

    /** Bounds the calls of each second until the given moment. */
    public void setColdStartLimit(long untilNanos, double callsPerSecond) {
        cold = callsPerSecond > 0;
        coldUntilNanos = untilNanos;
        coldCallsPerSecond = callsPerSecond;
    }

    public boolean isCold() {
        return cold && nanoTime.getAsLong() - coldUntilNanos < 0;
    }

    public int running() {
        return running;
    }

    public int waiting() {
        return waiting.size();
    }

    /** Admits or queues a call, which is then told by its own methods, or returns why it is refused. */
    public GateRefusal submit(GateCall call) {
        long now = nanoTime.getAsLong();
        if (now - effectiveDeadlineNanos(call) >= 0) {
            return GateRefusal.DEADLINE;
        }
        boolean coldBudgetExhausted = isColdBudgetExhausted(now);
        boolean hasFreeSlot = running < slots && waiting.isEmpty() && !coldBudgetExhausted;
        double serviceMillis = serviceTimes.averageMillis(call.route);
        double expectedAnswerNanos = now + (waitMillis(call.priority) + serviceMillis) * NANOS_PER_MILLI;
        double latestAnswerNanos =
                call.objectiveNanos + (hasFreeSlot ? FREE_SLOT_TOLERANCE * (call.objectiveNanos - now) : 0);
        // An idle target takes a trial call even if it was slow, or its recovery would never be seen.
        if (call.trial && (running > 0 || coldBudgetExhausted) && expectedAnswerNanos > latestAnswerNanos) {
            return coldBudgetExhausted ? GateRefusal.COLD : GateRefusal.BUSY;
        }
        boolean hasSpareSlots = running + waiting.size() < slots * SPARE_FRACTION;
        if (call.trial && call.fromOtherRegion && !hasSpareSlots || call.hedge && (!hasSpareSlots || isCold())) {
            return GateRefusal.BUSY;
        }
        if (!hasFreeSlot && (expectedAnswerNanos > effectiveDeadlineNanos(call) || waiting.size() >= MAX_WAITING)) {
            return coldBudgetExhausted ? GateRefusal.COLD : GateRefusal.OVERLOADED;
        }
        if (hasFreeSlot) {
            start(call, now);
        } else {
            call.state = GateCall.State.WAITING;
            waiting.add(call);
        }
        return null;
    }

    /**
     * Expected wait in milliseconds of a call that comes now. Calls that are late already count as well: they are served
     * later, but a queue that admits more for that reason holds them until their deadlines pass.
     */
    public long waitMillis(int priority) {
        int ahead = 0;
        double aheadServiceMillis = 0;
        for (GateCall call : waiting) {
            if (call.priority <= priority) {
                ahead++;
                aheadServiceMillis += serviceTimes.averageMillis(call.route);
            }
        }
        return (long) Math.ceil(waitMillis(ahead, aheadServiceMillis, nanoTime.getAsLong()));
    }

    /** Expected milliseconds until the answer of an average call that comes now. */
    public long expectedMillis(int priority) {
        return waitMillis(priority) + (long) serviceTimes.overallAverageMillis();
    }

    /** Wait behind calls with the given work: for a slot, and for the budget of a cold target. */
    private double waitMillis(int ahead, double aheadServiceMillis, long now) {
        double slotWaitMillis = running < slots && waiting.isEmpty()
                ? 0
                : (serviceTimes.overallAverageMillis() + aheadServiceMillis) / slots;
        if (!isCold()) {
            return slotWaitMillis;
        }
        double millisUntilWarm = (coldUntilNanos - now) / NANOS_PER_MILLI;
        return Math.max(
                slotWaitMillis, Math.min(millisUntilWarm, recentStarts.waitMillis(ahead, coldCallsPerSecond, now)));
    }

    /**
     * The target has answered the call or lost it, or its caller has left. The work of an answered call counts for the
     * estimates, and of any other when it took longer than expected: a target that turned slow may answer none in time.
     */
    public void release(GateCall call, boolean answered) {
        if (call.state != GateCall.State.RUNNING) {
            return;
        }
        call.state = GateCall.State.ENDED;
        running--;
        long serviceNanos = nanoTime.getAsLong() - call.startedNanos;
        if (answered || serviceNanos > serviceTimes.averageMillis(call.route) * NANOS_PER_MILLI) {
            serviceTimes.record(call.route, serviceNanos);
        }
        dispatch();
    }

    /** The caller has left; a running call keeps its slot until {@link #release}. */
    public void cancel(GateCall call) {
        if (call.state == GateCall.State.WAITING) {
            waiting.remove(call);
            call.state = GateCall.State.ENDED;
        }
    }

    /** Refuses every call that waits. */
    public void refuseWaiting(GateRefusal reason) {
        for (GateCall call : List.copyOf(waiting)) {
            refuse(call, reason);
        }
    }

    /** Starts what can be started and refuses what can no longer be answered in time; called at each short interval. */
    public void dispatch() {
        long now = nanoTime.getAsLong();
        refuseLateCalls(now);
        while (running < slots && !waiting.isEmpty() && !isColdBudgetExhausted(now)) {
            GateCall next = mostUrgent(now);
            waiting.remove(next);
            start(next, now);
        }
    }

    /** Calls that more urgent ones have overtaken are refused as soon as their turn would come too late. */
    private void refuseLateCalls(long now) {
        if (waiting.isEmpty()) {
            return;
        }
        List<GateCall> inOrder = new ArrayList<>(waiting);
        inOrder.sort((a, b) -> precedes(a, b, now) ? -1 : precedes(b, a, now) ? 1 : 0);
        int ahead = 0;
        double aheadServiceMillis = 0;
        for (GateCall call : inOrder) {
            double serviceMillis = serviceTimes.averageMillis(call.route);
            double waitMillis = ahead == 0 ? 0 : waitMillis(ahead, aheadServiceMillis, now);
            if (now + (waitMillis + serviceMillis / 2) * NANOS_PER_MILLI > effectiveDeadlineNanos(call)) {
                refuse(call, GateRefusal.DEADLINE);
            } else {
                ahead++;
                aheadServiceMillis += serviceMillis;
            }
        }
    }

    private void refuse(GateCall call, GateRefusal reason) {
        if (waiting.remove(call)) {
            call.state = GateCall.State.ENDED;
            call.onRefused(reason);
        }
    }

    private void start(GateCall call, long now) {
        call.state = GateCall.State.RUNNING;
        call.startedNanos = now;
        running++;
        recentStarts.recordStart(now);
        call.onAdmitted();
    }

    private GateCall mostUrgent(long now) {
        GateCall mostUrgent = null;
        for (GateCall call : waiting) {
            if (mostUrgent == null || precedes(call, mostUrgent, now)) {
                mostUrgent = call;
            }
        }
        return mostUrgent;
    }

    /** Higher priority first; then calls that can still meet their objective, the most urgent of them first. */
    private boolean precedes(GateCall a, GateCall b, long now) {
        if (a.priority != b.priority) {
            return a.priority < b.priority;
        }
        boolean aInTime = now + serviceTimes.averageMillis(a.route) * NANOS_PER_MILLI <= a.objectiveNanos;
        boolean bInTime = now + serviceTimes.averageMillis(b.route) * NANOS_PER_MILLI <= b.objectiveNanos;
        if (aInTime != bInTime) {
            return aInTime;
        }
        return a.objectiveNanos < b.objectiveNanos;
    }

    private boolean isColdBudgetExhausted(long now) {
        return cold && now - coldUntilNanos < 0 && recentStarts.startsInWindow(now) + 1 > coldCallsPerSecond;
    }
}
