package io.jaywick.core.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

import io.jaywick.core.message.QuotaRequest;

/**
 * Records what a holder has granted from its base allocation of one party. Each call of the allocation is in exactly
 * one state: free at the holder, granted to a receiver, or cooling down until one window has passed since its last
 * possible use. Not thread-safe.
 */
final class HolderLedger {

    /** Maximum leases per party. A request of a further receiver is answered with no quota. */
    static final int MAX_LEASES = 1_024;

    /** A lease is not reduced by fewer calls than this, unless the base allocation is overcommitted. */
    private static final int MIN_RECLAIMED_CALLS = 2;

    private final long periodNanos;
    private final Map<String, Lease> leases = new HashMap<>();
    private final List<Cooldown> cooldowns = new ArrayList<>();

    HolderLedger(long periodNanos) {
        this.periodNanos = periodNanos;
    }

    /** Returns the calls of the allocation that the holder itself may use now. */
    int freeCalls(int baseAllocation, long windowNanos, long nowNanos) {
        expireLeases(nowNanos);
        long committed = 0;
        for (Lease lease : leases.values()) {
            committed += lease.grantedCalls;
        }
        for (Cooldown cooldown : cooldowns) {
            if (cooldown.lastUseNanos + windowNanos > nowNanos) {
                committed += cooldown.calls;
            }
        }
        return (int) Math.max(0, baseAllocation - committed);
    }

    /**
     * Returns the first time after now at which {@link #freeCalls} may rise, or {@link Long#MAX_VALUE} if there is
     * none.
     */
    long nextChangeNanos(long windowNanos, long nowNanos) {
        long next = Long.MAX_VALUE;
        for (Lease lease : leases.values()) {
            next = Math.min(next, lease.endNanos);
        }
        for (Cooldown cooldown : cooldowns) {
            if (cooldown.lastUseNanos + windowNanos > nowNanos) {
                next = Math.min(next, cooldown.lastUseNanos + windowNanos);
            }
        }
        return next;
    }

    /** Returns whether no calls are granted or cooling down. */
    boolean isEmpty(long windowNanos, long nowNanos) {
        expireLeases(nowNanos);
        cooldowns.removeIf(cooldown -> cooldown.lastUseNanos + windowNanos <= nowNanos);
        return leases.isEmpty() && cooldowns.isEmpty();
    }

    /**
     * Decides on a request. A repeated request gets the same decision again; a request that is older than the last one
     * of its receiver changes nothing and gets {@link Decision#NONE}.
     */
    Decision decide(QuotaRequest request, HolderDemand holder, long windowNanos, long nowNanos) {
        expireLeases(nowNanos);
        cooldowns.removeIf(cooldown -> cooldown.lastUseNanos + windowNanos <= nowNanos);
        Lease lease = leases.get(request.from());
        if (lease != null && lease.incarnation > request.incarnation()) {
            return Decision.NONE;
        }
        if (lease != null && lease.incarnation == request.incarnation()) {
            if (request.requestId() == lease.requestId) {
                return lease.decision;
            }
            if (request.requestId() < lease.requestId) {
                return Decision.NONE;
            }
        }
        if (lease != null && lease.incarnation < request.incarnation()) {
            // The receiver has restarted. Its earlier process may have used the grant until the end of the grant.
            startCooldown(lease.grantedCalls, lease.endNanos);
            leases.remove(request.from());
            lease = null;
        }
        if (lease == null) {
            if (leases.size() >= MAX_LEASES) {
                return Decision.NONE;
            }
            lease = new Lease(request.incarnation(), nowNanos + LimitTiming.withDriftMargin(periodNanos));
            leases.put(request.from(), lease);
        }
        int committed = lease.grantedCalls + cancelReclaim(lease, nowNanos);
        int held = Math.max(0, Math.min(request.heldCalls(), committed));
        int released = committed - held;
        // The reported idle calls are valid only if the receiver has seen the last decision.
        boolean hasSeenLastDecision = lease.requestId == request.answeredId();
        int idle = hasSeenLastDecision ? Math.max(0, Math.min(request.idleCalls(), released)) : 0;
        startCooldown(released - idle, nowNanos);
        lease.grantedCalls = held;
        lease.wantedCalls = Math.max(0, request.wantCalls());
        return grant(lease, request.requestId(), holder, windowNanos, nowNanos);
    }

    private Decision grant(Lease lease, long requestId, HolderDemand holder, long windowNanos, long nowNanos) {
        int held = lease.grantedCalls;
        int fair = fairCalls(holder.baseAllocation, holder.wantedCalls);
        int target = Math.min(lease.wantedCalls, fair);
        int calls;
        int ready = 0;
        if (target < held) {
            // Quota that no other node needs stays with the receiver for its next burst.
            target = (int)
                    Math.max(target, Math.min(held, held - unmetCalls(lease, holder, fair, windowNanos, nowNanos)));
            // Small reductions are skipped unless the allocation is overcommitted, because they would cost two messages
            // at every change of demand.
            boolean isSmallReduction = held - target < Math.max(MIN_RECLAIMED_CALLS, held / 3)
                    && overcommittedCalls(holder.baseAllocation) == 0;
            if (target == held || isSmallReduction) {
                return recordDecision(lease, requestId, held, 0, nowNanos);
            }
            // If this answer is lost, the receiver may use all that it held until the end of its previous grant.
            lease.reclaimedCalls = held - target;
            lease.reclaimedEndNanos = lease.endNanos;
            startCooldown(lease.reclaimedCalls, lease.reclaimedEndNanos);
            calls = target;
        } else {
            int free = freeCalls(holder.baseAllocation, windowNanos, nowNanos);
            int holderReserve = Math.min(Math.min(holder.wantedCalls, fair), holder.baseAllocation);
            int grantable = grantableCooldownCalls(nowNanos);
            long available = (long) free + grantable - holderReserve - overcommittedCalls(holder.baseAllocation);
            int increase = (int) Math.max(0, Math.min(target - held, available));
            ready = (int) Math.max(0, Math.min(increase, free - holderReserve - holder.usedCalls));
            takeCooldownCalls(increase - ready, nowNanos);
            calls = held + increase;
        }
        return recordDecision(lease, requestId, calls, ready, nowNanos);
    }

    private Decision recordDecision(Lease lease, long requestId, int calls, int ready, long nowNanos) {
        lease.grantedCalls = calls;
        lease.requestId = requestId;
        lease.endNanos = nowNanos + LimitTiming.withDriftMargin(periodNanos);
        lease.decision = new Decision(calls, ready);
        return lease.decision;
    }

    /**
     * Returns the calls that the holder and the other receivers are entitled to and cannot get without reducing the
     * excluded lease.
     */
    private long unmetCalls(Lease excluded, HolderDemand holder, int fair, long windowNanos, long nowNanos) {
        int free = freeCalls(holder.baseAllocation, windowNanos, nowNanos);
        long unmet = Math.min(holder.wantedCalls, fair) - free - grantableCooldownCalls(nowNanos);
        for (Lease lease : leases.values()) {
            if (lease != excluded) {
                unmet += Math.max(0, Math.min(lease.wantedCalls, fair) - lease.grantedCalls);
            }
        }
        return Math.max(0, Math.max(unmet, overcommittedCalls(holder.baseAllocation)));
    }

    /** Returns by how many calls grants and cooldowns exceed the base allocation after a reduction of it. */
    private long overcommittedCalls(int baseAllocation) {
        long committed = 0;
        for (Lease lease : leases.values()) {
            committed += lease.grantedCalls;
        }
        for (Cooldown cooldown : cooldowns) {
            committed += cooldown.calls;
        }
        return Math.max(0, committed - baseAllocation);
    }

    /**
     * Returns the max-min fair share of one receiver, given the demand of the holder and all receivers. At least one
     * call unless the base allocation is zero.
     */
    private int fairCalls(int baseAllocation, int holderWanted) {
        long totalWanted = holderWanted;
        for (Lease lease : leases.values()) {
            totalWanted += lease.wantedCalls;
        }
        if (totalWanted <= baseAllocation) {
            return baseAllocation;
        }
        List<Integer> demands = new ArrayList<>(leases.size() + 1);
        demands.add(holderWanted);
        for (Lease lease : leases.values()) {
            demands.add(lease.wantedCalls);
        }
        demands.sort(null);
        int remaining = baseAllocation;
        for (int i = 0; i < demands.size(); i++) {
            int level = remaining / (demands.size() - i);
            if (demands.get(i) > level) {
                return baseAllocation == 0 ? 0 : Math.max(1, level);
            }
            remaining -= demands.get(i);
        }
        return baseAllocation;
    }

    private int grantableCooldownCalls(long nowNanos) {
        int calls = 0;
        for (Cooldown cooldown : cooldowns) {
            if (cooldown.lastUseNanos <= nowNanos) {
                calls += cooldown.calls;
            }
        }
        return calls;
    }

    /**
     * Removes calls from the cooldowns for a new grant. Only calls whose last possible use has passed qualify; the new
     * receiver itself waits one window before it uses them.
     */
    private void takeCooldownCalls(int calls, long nowNanos) {
        int remaining = calls;
        Iterator<Cooldown> iterator = cooldowns.iterator();
        while (remaining > 0 && iterator.hasNext()) {
            Cooldown cooldown = iterator.next();
            if (cooldown.lastUseNanos > nowNanos) {
                continue;
            }
            int taken = Math.min(remaining, cooldown.calls);
            cooldown.calls -= taken;
            remaining -= taken;
            if (cooldown.calls == 0) {
                iterator.remove();
            }
        }
    }

    /**
     * Moves the calls reclaimed by the last decision from their cooldown back to the lease, because the receiver may
     * have used them until it got that decision; its new request reports what it still holds. Returns these calls, or 0
     * if the receiver's use has ended by itself.
     */
    private int cancelReclaim(Lease lease, long nowNanos) {
        int calls = lease.reclaimedCalls;
        lease.reclaimedCalls = 0;
        if (calls == 0 || lease.reclaimedEndNanos <= nowNanos) {
            return 0;
        }
        for (Cooldown cooldown : cooldowns) {
            if (cooldown.lastUseNanos == lease.reclaimedEndNanos) {
                cooldown.calls -= calls;
            }
        }
        cooldowns.removeIf(cooldown -> cooldown.calls == 0);
        return calls;
    }

    private void expireLeases(long nowNanos) {
        Iterator<Lease> iterator = leases.values().iterator();
        while (iterator.hasNext()) {
            Lease lease = iterator.next();
            if (lease.endNanos <= nowNanos) {
                startCooldown(lease.grantedCalls, lease.endNanos);
                iterator.remove();
            }
        }
    }

    private void startCooldown(int calls, long lastUseNanos) {
        if (calls <= 0) {
            return;
        }
        for (Cooldown cooldown : cooldowns) {
            if (cooldown.lastUseNanos == lastUseNanos) {
                cooldown.calls += calls;
                return;
            }
        }
        cooldowns.add(new Cooldown(calls, lastUseNanos));
    }

    /**
     * Base allocation and demand of the holder itself.
     *
     * @param baseAllocation calls per window that the holder may use or grant
     * @param wantedCalls calls per window needed by the holder's own callers
     * @param usedCalls calls that the holder admitted within the last window
     */
    record HolderDemand(int baseAllocation, int wantedCalls, long usedCalls) {}

    /**
     * Answer to one request.
     *
     * @param calls all calls granted to the receiver
     * @param readyCalls part of the increase that the receiver may use at once; it uses the remainder after one window
     */
    record Decision(int calls, int readyCalls) {

        static final Decision NONE = new Decision(0, 0);
    }

    private static final class Lease {

        private final long incarnation;
        private int grantedCalls;
        private int wantedCalls;
        private int reclaimedCalls;
        private long reclaimedEndNanos;
        private long endNanos;
        private long requestId = Long.MIN_VALUE;
        private Decision decision = Decision.NONE;

        private Lease(long incarnation, long endNanos) {
            this.incarnation = incarnation;
            this.endNanos = endNanos;
        }
    }

    /** Calls with the same time of last possible use, in the past or in the future. */
    private static final class Cooldown {

        private int calls;
        private final long lastUseNanos;

        private Cooldown(int calls, long lastUseNanos) {
            this.calls = calls;
            this.lastUseNanos = lastUseNanos;
        }
    }
}
