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

    private final long periodNanos;
    private final Deque<Step> steps = new ArrayDeque<>();
    private int ready;
    private long endNanos = Long.MIN_VALUE;

    private boolean pending;
    private long requestId;
    private long sentNanos;
    private boolean everSent;

    private boolean answered;
    private int lastWanted;
    private int lastGranted;

    ReceiverLine(long periodNanos) {
        this.periodNanos = periodNanos;
    }

    /** Calls usable now. */
    int usable(long nowNanos) {
        if (nowNanos >= endNanos) {
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

    /** Calls that the planner may expect from the holder; as many as wanted while it has not answered otherwise. */
    int expected(int wanted) {
        return answered && lastGranted < lastWanted ? Math.min(wanted, lastGranted) : wanted;
    }

    /** Tells whether a request that asks for this many calls is due. */
    boolean isDue(int wanted, int held, long windowNanos, long nowNanos) {
        if (!everSent) {
            return wanted > 0;
        }
        long age = nowNanos - sentNanos;
        if (pending) {
            return age >= timeoutNanos() && (wanted > 0 || held > 0);
        }
        if (wanted == 0 && held == 0) {
            return false;
        }
        if (!answered) {
            return age >= timeoutNanos();
        }
        boolean lacking = lastGranted < lastWanted;
        boolean more = wanted > lastWanted + lastWanted / 8 && wanted > held;
        boolean less = wanted < held - Math.max(1, held / 4) || wanted == 0;
        return age >= periodNanos / 2
                || (more && age >= timeoutNanos())
                || (lacking
                        && wanted > held
                        && age >= Math.max(timeoutNanos(), Math.min(periodNanos / 2, windowNanos / 2)))
                || (less && age >= timeoutNanos());
    }

    /** Lowers the use to what the request asks for, and remembers the request. Returns the calls still held. */
    int send(long id, int wanted, long nowNanos) {
        trim(wanted, nowNanos);
        pending = true;
        answered = false;
        requestId = id;
        sentNanos = nowNanos;
        everSent = true;
        lastWanted = wanted;
        return held(nowNanos);
    }

    /** Takes the answer to the newest request; any other answer is ignored. */
    boolean accept(QuotaGrant grant, long windowNanos, long nowNanos) {
        if (!pending || grant.requestId() != requestId) {
            return false;
        }
        pending = false;
        answered = true;
        lastGranted = grant.calls();
        int held = held(nowNanos);
        long period = Math.min(periodNanos, TimeUnit.MILLISECONDS.toNanos(grant.periodMillis()));
        endNanos = sentNanos + period;
        if (grant.calls() <= held) {
            trim(grant.calls(), nowNanos);
            return true;
        }
        int increase = grant.calls() - held;
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

    private void trim(int calls, long nowNanos) {
        int excess = held(nowNanos) - calls;
        while (excess > 0 && !steps.isEmpty()) {
            Step last = steps.pollLast();
            int taken = Math.min(excess, last.calls);
            excess -= taken;
            if (taken < last.calls) {
                steps.add(new Step(last.calls - taken, last.usableNanos));
            }
        }
        if (excess > 0) {
            ready -= excess;
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
