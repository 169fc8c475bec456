package io.jaywick.core.gate;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;

import io.jaywick.core.capacity.CapacityEstimator;

/**
 * Admission control of the local target. At most as many calls run at the target as it has slots, or as it was learned to
 * run well; further calls are queued in the order of {@link CallOrder}. A call that cannot be answered before its deadline
 * is refused at once, and so is a trial attempt that would miss its objective, so that the caller can choose another
 * instance. Not thread-safe.
 */
public final class TargetGate {

    /** Slots assumed until the target's entry is known. */
    private static final int INITIAL_SLOTS = 4;

    /**
     * Fraction of the slots that hedges and trial attempts from other regions may fill. Otherwise, in a burst in all
     * regions, each region would accept calls of the others and send its own away, over links that are paid for.
     */
    private static final double SPARE_FRACTION = 0.75;

    /**
     * A trial attempt is refused despite a free slot only if it is expected to take more than twice the time remaining
     * until its objective. Estimates are rough, and a slightly late call costs less here than one sent to another
     * region.
     */
    private static final double FREE_SLOT_TOLERANCE = 1.0;

    /**
     * A call is accepted before a shutdown only if this multiple of its average service time is left, because few calls
     * take longer and those that do are cut off.
     */
    private static final double SHUTDOWN_SERVICE_FACTOR = 3;

    /** Bounds the memory of the queue; the deadlines of the calls keep it far shorter. */
    private static final int MAX_WAITING = 512;

    /**
     * A target receives at least this many calls per second, whatever limit it names, because only its responses show
     * that the limit has ended.
     */
    private static final double MIN_CALLS_PER_SECOND = 0.25;

    private static final double NANOS_PER_MILLI = 1_000_000;

    private final LongSupplier nanoTime;
    private final CapacityEstimator capacity;
    private final StartRateWindow recentStarts = new StartRateWindow();
    private final ServiceTimes serviceTimes = new ServiceTimes();
    private final CallOrder order = new CallOrder(serviceTimes);
    private final List<GateCall> waiting = new ArrayList<>();
    private final Set<GateCall> runningCalls = new HashSet<>();
    private int slots = INITIAL_SLOTS;
    private boolean cold;
    private long coldUntilNanos;
    private StartRate coldRate;
    private StartRate rateLimit;
    private boolean hasShutdownDeadline;
    private long shutdownNanos;

    /** Creates a gate that admits calls to all slots. */
    public TargetGate(LongSupplier nanoTime) {
        this(nanoTime, null);
    }

    /**
     * Creates a gate that admits as many calls as the target runs well.
     *
     * @param capacity learns from the calls; null to admit calls to all slots
     */
    public TargetGate(LongSupplier nanoTime, CapacityEstimator capacity) {
        this.nanoTime = nanoTime;
        this.capacity = capacity;
    }

    /** Sets the number of calls that the target accepts, which the learned limit never exceeds. */
    public void setSlots(int slots) {
        this.slots = Math.max(1, slots);
        if (capacity != null) {
            capacity.setSlots(this.slots);
        }
        dispatch();
    }

    /**
     * Caps the deadlines of all calls at the shutdown of the node. Waiting calls that cannot be answered before it are
     * refused at once.
     *
     * @param deadlineNanos monotonic time of the shutdown
     */
    public void setShutdownDeadline(long deadlineNanos) {
        hasShutdownDeadline = true;
        shutdownNanos = deadlineNanos;
        dispatch();
    }

    private long effectiveDeadlineNanos(GateCall call) {
        return hasShutdownDeadline && shutdownNanos - call.urgency.deadlineNanos() < 0
                ? shutdownNanos
                : call.urgency.deadlineNanos();
    }

    /**
     * Limits the rate at which calls start until the given monotonic time.
     *
     * @param callsPerSecond 0 removes the limit
     */
    public void setColdStartLimit(long untilNanos, double callsPerSecond) {
        cold = callsPerSecond > 0;
        coldUntilNanos = untilNanos;
        coldRate = StartRate.inAnySecond(callsPerSecond);
    }

    /**
     * Limits the rate at which calls start, as the target demands, until {@link #removeRateLimit}. Calls that started
     * before count.
     *
     * @param callsPerSecond at least 0
     */
    public void setRateLimit(double callsPerSecond) {
        rateLimit = StartRate.onAverage(Math.max(MIN_CALLS_PER_SECOND, callsPerSecond));
        dispatch();
    }

    public void removeRateLimit() {
        rateLimit = null;
        dispatch();
    }

    public boolean isCold() {
        return cold && nanoTime.getAsLong() - coldUntilNanos < 0;
    }

    public int running() {
        return runningCalls.size();
    }

    public int waiting() {
        return waiting.size();
    }

    /**
     * Admits, queues or refuses a call. The call is notified by {@link GateCall#onAdmitted} when it is granted a slot,
     * or by {@link GateCall#onRefused} when it is removed from the queue.
     *
     * @return the reason of a refusal, or null when the call was admitted or queued
     */
    public GateRefusal submit(GateCall call) {
        long now = nanoTime.getAsLong();
        if (now - effectiveDeadlineNanos(call) >= 0) {
            return GateRefusal.DEADLINE;
        }
        if (mayOutlastShutdown(call.urgency, now)) {
            return GateRefusal.LEAVING;
        }
        GateRefusal exhaustedBudget = findExhaustedBudget(now);
        int limit = limit(now);
        boolean hasFreeSlot = running() < limit && waiting.isEmpty() && exhaustedBudget == null;
        double serviceMillis = serviceTimes.averageMillis(call.urgency.route());
        double expectedAnswerNanos = now + (expectedWaitMillis(call.urgency, now) + serviceMillis) * NANOS_PER_MILLI;
        double latestAnswerNanos = call.urgency.objectiveNanos()
                + (hasFreeSlot ? FREE_SLOT_TOLERANCE * (call.urgency.objectiveNanos() - now) : 0);
        // An idle target accepts a trial attempt even if it was slow; otherwise its recovery would not be observed.
        if (call.trial && (running() > 0 || exhaustedBudget != null) && expectedAnswerNanos > latestAnswerNanos) {
            return exhaustedBudget == null ? GateRefusal.BUSY : exhaustedBudget;
        }
        boolean hasSpareSlots = running() + waiting.size() < limit * SPARE_FRACTION;
        if (call.trial && call.fromOtherRegion && !hasSpareSlots || call.hedge && (!hasSpareSlots || isCold())) {
            return GateRefusal.BUSY;
        }
        if (call.hedge && rateLimit != null) {
            return GateRefusal.RATE_LIMITED;
        }
        if (!hasFreeSlot && (expectedAnswerNanos > effectiveDeadlineNanos(call) || waiting.size() >= MAX_WAITING)) {
            return exhaustedBudget == null ? GateRefusal.OVERLOADED : exhaustedBudget;
        }
        if (hasFreeSlot) {
            start(call, now);
        } else {
            call.state = GateCall.State.WAITING;
            waiting.add(call);
            updateCapacity(now);
        }
        return null;
    }

    /** Returns the number of calls that may run now. */
    private int limit(long now) {
        return capacity == null ? slots : Math.min(slots, capacity.limitNow(now));
    }

    private void updateCapacity(long now) {
        if (capacity != null) {
            // A call that waits for the rate of starts does not show that all slots are taken.
            capacity.update(running(), findExhaustedBudget(now) == null ? waiting.size() : 0, now);
        }
    }

    private boolean mayOutlastShutdown(CallUrgency call, long now) {
        double longMillis = SHUTDOWN_SERVICE_FACTOR * serviceTimes.averageMillis(call.route());
        return hasShutdownDeadline
                && now + (expectedWaitMillis(call, now) + longMillis) * NANOS_PER_MILLI > shutdownNanos;
    }

    /**
     * Returns the expected wait in milliseconds of a call like the given one that arrives now. It is the wait behind
     * the calls that {@link CallOrder#servedBefore} names, as the others do not delay the call.
     */
    public long waitMillis(CallUrgency call) {
        return (long) Math.ceil(expectedWaitMillis(call, nanoTime.getAsLong()));
    }

    private double expectedWaitMillis(CallUrgency call, long now) {
        int ahead = 0;
        double aheadServiceMillis = 0;
        for (GateCall other : waiting) {
            if (order.servedBefore(other.urgency, call, now)) {
                ahead++;
                aheadServiceMillis += serviceTimes.averageMillis(other.urgency.route());
            }
        }
        return waitMillis(ahead, aheadServiceMillis, now);
    }

    /**
     * Returns the expected milliseconds until the answer of an average call that is served after all waiting ones. It
     * describes the load of the target, whatever the kinds of the calls.
     */
    public long expectedMillis() {
        double waitingServiceMillis = 0;
        for (GateCall call : waiting) {
            waitingServiceMillis += serviceTimes.averageMillis(call.urgency.route());
        }
        double waitMillis = waitMillis(waiting.size(), waitingServiceMillis, nanoTime.getAsLong());
        return (long) Math.ceil(waitMillis + serviceTimes.overallAverageMillis());
    }

    /** Returns the wait behind calls with the given total service time: for a slot, and for the rate of starts. */
    private double waitMillis(int ahead, double aheadServiceMillis, long now) {
        int limit = limit(now);
        boolean hasFreeSlot = running() < limit && waiting.isEmpty();
        double slotWaitMillis = hasFreeSlot ? 0 : millisUntilFreeSlot() + aheadServiceMillis / limit;
        return Math.max(slotWaitMillis, Math.max(coldWaitMillis(ahead, now), rateLimitWaitMillis(ahead, now)));
    }

    private double coldWaitMillis(int ahead, long now) {
        if (!cold || now - coldUntilNanos >= 0) {
            return 0;
        }
        double millisUntilWarm = (coldUntilNanos - now) / NANOS_PER_MILLI;
        return Math.min(millisUntilWarm, recentStarts.waitMillis(ahead, coldRate, now));
    }

    private double rateLimitWaitMillis(int ahead, long now) {
        return rateLimit == null ? 0 : recentStarts.waitMillis(ahead, rateLimit, now);
    }

    /** Returns why no call can start now however many slots are free, or null. */
    private GateRefusal findExhaustedBudget(long now) {
        if (rateLimitWaitMillis(0, now) > 0) {
            return GateRefusal.RATE_LIMITED;
        }
        return coldWaitMillis(0, now) > 0 ? GateRefusal.COLD : null;
    }

    /**
     * Returns the expected milliseconds until the first running call ends. A target whose slots are all taken by long
     * calls frees one less often than its average service time suggests, because short calls dominate the average.
     */
    private double millisUntilFreeSlot() {
        double endsPerMilli = 0;
        for (GateCall call : runningCalls) {
            endsPerMilli += 1 / serviceTimes.averageMillis(call.urgency.route());
        }
        return endsPerMilli == 0 ? 0 : 1 / endsPerMilli;
    }

    /**
     * Releases the slot of a running call that was answered, lost or abandoned by its caller. The service time of an
     * answered call updates the estimates. That of any other call does so only if it is longer than expected, because a
     * target that has become slow may answer no call in time.
     */
    public void release(GateCall call, boolean answered) {
        release(call, answered, answered);
    }

    /**
     * Releases the slot of a running call as {@link #release(GateCall, boolean)}.
     *
     * @param succeeded whether the call was answered with a success; a target that fails fast is not faster
     */
    public void release(GateCall call, boolean answered, boolean succeeded) {
        if (call.state != GateCall.State.RUNNING) {
            return;
        }
        call.state = GateCall.State.ENDED;
        runningCalls.remove(call);
        long now = nanoTime.getAsLong();
        long serviceNanos = now - call.startedNanos;
        if (answered || serviceNanos > serviceTimes.averageMillis(call.urgency.route()) * NANOS_PER_MILLI) {
            serviceTimes.record(call.urgency.route(), serviceNanos);
        }
        if (capacity != null) {
            capacity.recordEnd(call.capacityCall, succeeded, running(), now);
        }
        dispatch();
    }

    /** Removes a waiting call that its caller abandoned; a running call keeps its slot until {@link #release}. */
    public void cancel(GateCall call) {
        if (call.state == GateCall.State.WAITING) {
            waiting.remove(call);
            call.state = GateCall.State.ENDED;
        }
    }

    public void refuseWaiting(GateRefusal reason) {
        for (GateCall call : List.copyOf(waiting)) {
            refuse(call, reason);
        }
    }

    /**
     * Starts waiting calls and refuses those that can no longer be answered in time; to be called at short intervals.
     */
    public void dispatch() {
        long now = nanoTime.getAsLong();
        updateCapacity(now);
        refuseLateCalls(now);
        while (running() < limit(now) && !waiting.isEmpty() && findExhaustedBudget(now) == null) {
            GateCall next = mostUrgent(now);
            waiting.remove(next);
            start(next, now);
        }
        updateCapacity(now);
    }

    /** Refuses waiting calls that more urgent ones have overtaken, as soon as they would be served too late. */
    private void refuseLateCalls(long now) {
        if (waiting.isEmpty()) {
            return;
        }
        List<GateCall> inOrder = new ArrayList<>(waiting);
        inOrder.sort(orderAt(now));
        int ahead = 0;
        double aheadServiceMillis = 0;
        for (GateCall call : inOrder) {
            double serviceMillis = serviceTimes.averageMillis(call.urgency.route());
            double waitMillis = ahead == 0
                    ? Math.max(coldWaitMillis(0, now), rateLimitWaitMillis(0, now))
                    : waitMillis(ahead, aheadServiceMillis, now);
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
        runningCalls.add(call);
        recentStarts.recordStart(now);
        if (capacity != null) {
            call.capacityCall = capacity.recordStart(call.urgency.route(), running(), now);
        }
        call.onAdmitted();
    }

    private GateCall mostUrgent(long now) {
        return Collections.min(waiting, orderAt(now));
    }

    private Comparator<GateCall> orderAt(long now) {
        return Comparator.comparing(call -> call.urgency, order.at(now));
    }
}
