package io.jaywick.core.limits;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

import io.jaywick.core.message.QuotaGrant;

/**
 * Quota of one party that a node leases from one holder. Usable calls rise only with the answer to the newest request,
 * and fall before a request that reports the reduction is sent. Not thread-safe.
 */
final class QuotaLease {

    /** Maximum increases that wait for one window at the same time; a further one is merged into the last. */
    private static final int MAX_PENDING_INCREASES = 8;

    private static final long MAX_REQUEST_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final int TIMEOUTS_PER_PERIOD = 10;

    /** Minimum interval between two requests to one holder. */
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

    /** Returns the calls usable now, including increases that have become usable. */
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

    /** Returns the calls that are usable now or become usable without a further answer. */
    int heldCalls(long nowNanos) {
        int calls = usableCalls(nowNanos);
        for (PendingIncrease increase : pendingIncreases) {
            calls += increase.calls;
        }
        return calls;
    }

    /**
     * Returns the first time after now at which {@link #usableCalls} changes, or {@link Long#MAX_VALUE} if the lease
     * has ended.
     */
    long nextChangeNanos(long nowNanos) {
        if (nowNanos >= endNanos) {
            return Long.MAX_VALUE;
        }
        return pendingIncreases.isEmpty() ? endNanos : Math.min(endNanos, pendingIncreases.peek().usableNanos);
    }

    /** Returns whether the last grant was smaller than requested. */
    boolean hasShortfall() {
        return grantFellShort;
    }

    /** Returns whether a request for this many calls is due. */
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
        // The holder reserves quota for a receiver until it is notified that the receiver wants none.
        boolean demandEnded = wantedCalls == 0 && lastWantedCalls > 0;
        boolean demandFell = demandEnded || wantedCalls < held - Math.max(2, held / 4) && wantedCalls < lastWantedCalls;
        if (demandRose || demandFell) {
            return ageNanos >= intervalNanos;
        }
        boolean isUnderGranted = wantedCalls > held && lastGrantedCalls < lastWantedCalls;
        boolean hasSurplus = wantedCalls < held - Math.max(2, held / 4);
        // The size of a lease fluctuates while other receivers adapt, so a shortfall is retried less often.
        intervalNanos = held > 0 && isUnderGranted ? intervalNanos * CONVERGENCE_INTERVALS : intervalNanos;
        return (isUnderGranted || hasSurplus)
                && ageNanos >= intervalNanos << Math.min(backoffExponent, MAX_BACKOFF_DOUBLINGS);
    }

    /**
     * Releases the calls that are not to be retained, if they are all or more than a quarter of the held calls, and
     * records the request.
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

    /** Returns the calls released since the last answer that had been unused for a window when they were released. */
    int releasedIdleCalls() {
        return releasedIdleCalls;
    }

    /** Returns the identifier of the request whose answer was applied last. */
    long answeredId() {
        return answeredId;
    }

    /** Applies the answer to the newest request. Ignores any other answer and returns false. */
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
            // The holder can grant the calls to others only once it is notified that they are not in use.
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

    /** Records that a request got no answer. The next one is due after the request timeout. */
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
            // Another node may have used the calls of a pending increase within the window, so they are not idle.
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
