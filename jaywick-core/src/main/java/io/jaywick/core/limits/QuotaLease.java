package io.jaywick.core.limits;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

import io.jaywick.core.message.QuotaGrant;

/**
 * Quota of one party that a node has from one holder. The node raises its use only by the answer to its newest
 * request, and lowers it before it sends a request that says so. Not safe for concurrent use.
 */
final class QuotaLease {

    /** Increases that may wait for their window at once; a further one joins the last. */
    private static final int MAX_PENDING_INCREASES = 8;

    private static final long MAX_REQUEST_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final int TIMEOUTS_PER_PERIOD = 10;

    /** Shortest time between two requests to one holder. */
    private static final long MIN_REQUEST_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private static final int REQUESTS_PER_WINDOW = 8;
    private static final int MAX_BACKOFF_DOUBLINGS = 16;
    private static final int CONVERGENCE_INTERVALS = 4;

    private final long periodNanos;
    private final Deque<PendingIncrease> pendingIncreases = new ArrayDeque<>();
    private int readyCalls;
    private long endNanos = Long.MIN_VALUE;

    private boolean requestPending;
    private long requestId;
    private long sentNanos;
    private boolean hasSentRequest;

    private boolean answered;
    private boolean confirmationDue;
    private long answeredId;
    private int releasedIdleCalls;
    private int backoffExponent;
    private int lastWantedCalls;
    private int lastGrantedCalls;
    private boolean grantFellShort;

    QuotaLease(long periodNanos) {
        this.periodNanos = periodNanos;
    }

    /** Calls usable now. */
    int usableCalls(long nowNanos) {
        if (nowNanos >= endNanos) {
            releasedIdleCalls = 0;
            readyCalls = 0;
            pendingIncreases.clear();
            return 0;
        }
        while (!pendingIncreases.isEmpty() && pendingIncreases.peek().usableNanos <= nowNanos) {
            readyCalls += pendingIncreases.poll().calls;
        }
        return readyCalls;
    }

    /** Calls that are usable now or become usable without a further answer. */
    int heldCalls(long nowNanos) {
        int calls = usableCalls(nowNanos);
        for (PendingIncrease increase : pendingIncreases) {
            calls += increase.calls;
        }
        return calls;
    }

    /** First instant after now at which {@link #usableCalls} changes. */
    long nextChangeNanos(long nowNanos) {
        if (nowNanos >= endNanos) {
            return Long.MAX_VALUE;
        }
        return pendingIncreases.isEmpty() ? endNanos : Math.min(endNanos, pendingIncreases.peek().usableNanos);
    }

    /** True when the holder gave less than was asked of it. */
    boolean hasShortfall() {
        return grantFellShort;
    }

    /** Tells whether a request that asks for this many calls is due. */
    boolean isRequestDue(int wantedCalls, long windowNanos, long nowNanos) {
        int held = heldCalls(nowNanos);
        long ageNanos = hasSentRequest ? nowNanos - sentNanos : Long.MAX_VALUE;
        if (wantedCalls == 0 && held == 0 && releasedIdleCalls == 0 && !confirmationDue && lastWantedCalls == 0) {
            return false;
        }
        if (requestPending || !answered) {
            return ageNanos >= requestTimeoutNanos();
        }
        if (confirmationDue || ageNanos >= periodNanos / 2) {
            return true;
        }
        long intervalNanos = Math.max(MIN_REQUEST_INTERVAL_NANOS, windowNanos / REQUESTS_PER_WINDOW);
        boolean demandRose = wantedCalls > lastWantedCalls + Math.max(2, lastWantedCalls / 4) && wantedCalls > held;
        // The holder keeps quota back for a receiver that it believes to want more.
        boolean demandEnded = wantedCalls == 0 && lastWantedCalls > 0;
        boolean demandFell = demandEnded || wantedCalls < held - Math.max(2, held / 4) && wantedCalls < lastWantedCalls;
        if (demandRose || demandFell) {
            return ageNanos >= intervalNanos;
        }
        boolean isUnderGranted = wantedCalls > held && lastGrantedCalls < lastWantedCalls;
        boolean hasSurplus = wantedCalls < held - Math.max(2, held / 4);
        // A line that changed size a moment ago is likely to change back while other receivers adapt.
        intervalNanos = held > 0 && isUnderGranted ? intervalNanos * CONVERGENCE_INTERVALS : intervalNanos;
        return (isUnderGranted || hasSurplus)
                && ageNanos >= intervalNanos << Math.min(backoffExponent, MAX_BACKOFF_DOUBLINGS);
    }

    /**
     * Lowers the use to what is to be kept, and remembers the request.
     *
     * @param idleCalls calls of the node's quota that were unused for a window
     */
    void recordRequest(long id, int wantedCalls, int retainedCalls, long idleCalls, long nowNanos) {
        int held = heldCalls(nowNanos);
        if (retainedCalls < held - Math.max(1, held / 4) || retainedCalls == 0) {
            reduceTo(retainedCalls, idleCalls, nowNanos);
        }
        boolean demandChanged = Math.abs(wantedCalls - lastWantedCalls) > Math.max(2, lastWantedCalls / 4);
        backoffExponent = demandChanged ? 0 : backoffExponent + 1;
        requestPending = true;
        answered = false;
        confirmationDue = false;
        requestId = id;
        sentNanos = nowNanos;
        hasSentRequest = true;
        lastWantedCalls = wantedCalls;
    }

    /** Calls released since the last answer that were unused for a window when they were released. */
    int releasedIdleCalls() {
        return releasedIdleCalls;
    }

    /** Identifier of the request whose answer was taken last. */
    long answeredId() {
        return answeredId;
    }

    /** Takes the answer to the newest request; any other answer is ignored. */
    boolean applyGrant(QuotaGrant grant, long idleCalls, long windowNanos, long nowNanos) {
        if (!requestPending || grant.requestId() != requestId) {
            return false;
        }
        requestPending = false;
        answered = true;
        answeredId = requestId;
        releasedIdleCalls = 0;
        lastGrantedCalls = grant.calls();
        grantFellShort = lastGrantedCalls < lastWantedCalls;
        int held = heldCalls(nowNanos);
        long period = Math.min(periodNanos, TimeUnit.MILLISECONDS.toNanos(grant.periodMillis()));
        endNanos = sentNanos + period;
        if (grant.calls() <= held) {
            // The holder can lend the calls to others only after it hears that they are not in use.
            confirmationDue = grant.calls() < held;
            reduceTo(grant.calls(), idleCalls, nowNanos);
            return true;
        }
        int increase = grant.calls() - held;
        if (increase > Math.max(2, held / 2)) {
            backoffExponent = 0;
        }
        int immediate = Math.max(0, Math.min(increase, grant.readyCalls()));
        readyCalls += immediate;
        if (increase > immediate) {
            addPendingIncrease(increase - immediate, nowNanos + windowNanos);
        }
        return true;
    }

    /** The request got no answer; the next one may follow after the retry interval. */
    void recordFailure(long id) {
        if (requestPending && id == requestId) {
            requestPending = false;
        }
    }

    boolean isRemovable(long nowNanos) {
        return !requestPending && heldCalls(nowNanos) == 0 && nowNanos - sentNanos > periodNanos;
    }

    private void reduceTo(int calls, long idleCalls, long nowNanos) {
        int excess = heldCalls(nowNanos) - calls;
        while (excess > 0 && !pendingIncreases.isEmpty()) {
            // A waiting increase may have been used by another node within the window, so it is not idle.
            PendingIncrease last = pendingIncreases.pollLast();
            int taken = Math.min(excess, last.calls);
            excess -= taken;
            if (taken < last.calls) {
                pendingIncreases.add(new PendingIncrease(last.calls - taken, last.usableNanos));
            }
        }
        if (excess > 0) {
            readyCalls -= excess;
            releasedIdleCalls += (int) Math.max(0, Math.min(idleCalls, excess));
        }
    }

    private void addPendingIncrease(int calls, long usableNanos) {
        int mergedCalls = calls;
        if (pendingIncreases.size() >= MAX_PENDING_INCREASES) {
            mergedCalls += pendingIncreases.pollLast().calls;
        }
        pendingIncreases.add(new PendingIncrease(mergedCalls, usableNanos));
    }

    private long requestTimeoutNanos() {
        return Math.min(MAX_REQUEST_TIMEOUT_NANOS, periodNanos / TIMEOUTS_PER_PERIOD);
    }

    private record PendingIncrease(int calls, long usableNanos) {}
}
