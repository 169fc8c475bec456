package io.jaywick.core.limits;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

import io.jaywick.core.message.QuotaGrant;

/**
 * Quota of one party that a node has from one holder. The node raises its use only by the answer to its newest
 * request, and lowers it before it sends a request that says so. Not safe for concurrent use.
 */
final class ReceiverLine {

    /** Increases that may wait for their window at once; a further one joins the last. */
    private static final int MAX_STEPS = 8;

    private static final long MAX_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final int TRIES_PER_PERIOD = 10;

    /** Shortest time between two requests to one holder. */
    private static final long MIN_PACE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private static final int PACES_PER_WINDOW = 8;
    private static final int MAX_DOUBLINGS = 16;
    private static final int SETTLE_PACES = 4;

    private final long periodNanos;
    private final Deque<Step> steps = new ArrayDeque<>();
    private int ready;
    private long endNanos = Long.MIN_VALUE;

    private boolean pending;
    private long requestId;
    private long sentNanos;
    private boolean everSent;

    private boolean answered;
    private boolean confirmDue;
    private long answeredId;
    private int idleReleased;
    private int fruitless;
    private int lastWanted;
    private int lastGranted;
    private boolean lacked;

    ReceiverLine(long periodNanos) {
        this.periodNanos = periodNanos;
    }

    /** Calls usable now. */
    int usable(long nowNanos) {
        if (nowNanos >= endNanos) {
            idleReleased = 0;
            ready = 0;
            steps.clear();
            return 0;
        }
        while (!steps.isEmpty() && steps.peek().usableNanos <= nowNanos) {
            ready += steps.poll().calls;
        }
        return ready;
    }

    /** Calls that are usable now or become usable without a further answer. */
    int held(long nowNanos) {
        int calls = usable(nowNanos);
        for (Step step : steps) {
            calls += step.calls;
        }
        return calls;
    }

    /** First instant after now at which {@link #usable} changes. */
    long nextChangeNanos(long nowNanos) {
        if (nowNanos >= endNanos) {
            return Long.MAX_VALUE;
        }
        return steps.isEmpty() ? endNanos : Math.min(endNanos, steps.peek().usableNanos);
    }

    /** True when the holder gave less than was asked of it. */
    boolean isLacking() {
        return lacked;
    }

    /** Tells whether a request that asks for this many calls is due. */
    boolean isDue(int wanted, long windowNanos, long nowNanos) {
        int held = held(nowNanos);
        long age = everSent ? nowNanos - sentNanos : Long.MAX_VALUE;
        if (wanted == 0 && held == 0 && idleReleased == 0 && !confirmDue && lastWanted == 0) {
            return false;
        }
        if (pending || !answered) {
            return age >= timeoutNanos();
        }
        if (confirmDue || age >= periodNanos / 2) {
            return true;
        }
        long pace = Math.max(MIN_PACE_NANOS, windowNanos / PACES_PER_WINDOW);
        boolean more = wanted > lastWanted + Math.max(2, lastWanted / 4) && wanted > held;
        // The holder keeps quota back for a receiver that it believes to want more.
        boolean gone = wanted == 0 && lastWanted > 0;
        boolean less = gone || wanted < held - Math.max(2, held / 4) && wanted < lastWanted;
        if (more || less) {
            return age >= pace;
        }
        boolean lacking = wanted > held && lastGranted < lastWanted;
        boolean surplus = wanted < held - Math.max(2, held / 4);
        // A line that changed size a moment ago is likely to change back while other receivers adapt.
        pace = held > 0 && lacking ? pace * SETTLE_PACES : pace;
        return (lacking || surplus) && age >= pace << Math.min(fruitless, MAX_DOUBLINGS);
    }

    /**
     * Lowers the use to what is to be kept, and remembers the request.
     *
     * @param idleBudget calls of the node's quota that were unused for a window
     */
    void send(long id, int wanted, int kept, long idleBudget, long nowNanos) {
        int held = held(nowNanos);
        if (kept < held - Math.max(1, held / 4) || kept == 0) {
            trim(kept, idleBudget, nowNanos);
        }
        boolean changed = Math.abs(wanted - lastWanted) > Math.max(2, lastWanted / 4);
        fruitless = changed ? 0 : fruitless + 1;
        pending = true;
        answered = false;
        confirmDue = false;
        requestId = id;
        sentNanos = nowNanos;
        everSent = true;
        lastWanted = wanted;
    }

    /** Calls released since the last answer that were unused for a window when they were released. */
    int idleReleased() {
        return idleReleased;
    }

    /** Identifier of the request whose answer was taken last. */
    long answeredId() {
        return answeredId;
    }

    /** Takes the answer to the newest request; any other answer is ignored. */
    boolean accept(QuotaGrant grant, long idleBudget, long windowNanos, long nowNanos) {
        if (!pending || grant.requestId() != requestId) {
            return false;
        }
        pending = false;
        answered = true;
        answeredId = requestId;
        idleReleased = 0;
        lastGranted = grant.calls();
        lacked = lastGranted < lastWanted;
        int held = held(nowNanos);
        long period = Math.min(periodNanos, TimeUnit.MILLISECONDS.toNanos(grant.periodMillis()));
        endNanos = sentNanos + period;
        if (grant.calls() <= held) {
            // The holder can lend the calls to others only after it hears that they are not in use.
            confirmDue = grant.calls() < held;
            trim(grant.calls(), idleBudget, nowNanos);
            return true;
        }
        int increase = grant.calls() - held;
        if (increase > Math.max(2, held / 2)) {
            fruitless = 0;
        }
        int immediate = Math.max(0, Math.min(increase, grant.readyCalls()));
        ready += immediate;
        if (increase > immediate) {
            addStep(increase - immediate, nowNanos + windowNanos);
        }
        return true;
    }

    /** The request got no answer; the next one may follow after the retry interval. */
    void fail(long id) {
        if (pending && id == requestId) {
            pending = false;
        }
    }

    boolean isIdle(long nowNanos) {
        return !pending && held(nowNanos) == 0 && nowNanos - sentNanos > periodNanos;
    }

    private void trim(int calls, long idleBudget, long nowNanos) {
        int excess = held(nowNanos) - calls;
        while (excess > 0 && !steps.isEmpty()) {
            // A waiting increase may have been used by another node within the window, so it is not idle.
            Step last = steps.pollLast();
            int taken = Math.min(excess, last.calls);
            excess -= taken;
            if (taken < last.calls) {
                steps.add(new Step(last.calls - taken, last.usableNanos));
            }
        }
        if (excess > 0) {
            ready -= excess;
            idleReleased += (int) Math.max(0, Math.min(idleBudget, excess));
        }
    }

    private void addStep(int calls, long usableNanos) {
        int joined = calls;
        if (steps.size() >= MAX_STEPS) {
            joined += steps.pollLast().calls;
        }
        steps.add(new Step(joined, usableNanos));
    }

    private long timeoutNanos() {
        return Math.min(MAX_TIMEOUT_NANOS, periodNanos / TRIES_PER_PERIOD);
    }

    private record Step(int calls, long usableNanos) {}
}
