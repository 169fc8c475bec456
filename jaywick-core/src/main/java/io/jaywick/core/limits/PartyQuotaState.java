package io.jaywick.core.limits;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;

import io.jaywick.core.message.QuotaGrant;
import io.jaywick.core.message.QuotaRequest;

/** State of one party's quota on one node. Callers hold the monitor of this object. */
final class PartyQuotaState {

    /** Buckets per window. The sliding window is longer by up to one bucket, in exchange for fixed memory. */
    private static final int COUNTER_BUCKETS = 128;

    /** A surplus of up to a quarter of the need is retained, so that small changes of demand cost no messages. */
    private static final int SURPLUS_DIVISOR = 4;

    /** A holder whose last grant fell short gets a request for only a quarter of the shortfall. */
    private static final int SHORTFALL_DIVISOR = 4;

    private final String party;
    private final long periodNanos;
    private final WindowCounter used;
    private final DemandEstimator demand;
    private final HolderLedger ledger;
    private final Map<String, QuotaLease> leases = new LinkedHashMap<>();

    private int limitCalls;
    private long windowMillis;
    private int baseAllocation;
    private long generation = -1;
    private int activeRosterCount;
    private boolean retired;

    private int quotaCalls;
    private long quotaValidUntilNanos = Long.MIN_VALUE;

    PartyQuotaState(String party, long windowMillis, long periodNanos) {
        this.party = party;
        this.periodNanos = periodNanos;
        this.windowMillis = windowMillis;
        this.used = new WindowCounter(LimitTiming.guardedWindowNanos(windowMillis), COUNTER_BUCKETS);
        this.demand = new DemandEstimator(windowMillis);
        this.ledger = new HolderLedger(periodNanos);
    }

    boolean isRetired() {
        return retired;
    }

    long generation() {
        return generation;
    }

    /** Returns the number of rosters from which the base allocation was computed. */
    int activeRosterCount() {
        return activeRosterCount;
    }

    long windowMillis() {
        return windowMillis;
    }

    /** Applies the limit and the base allocation of a table revision. */
    void configure(
            long newGeneration,
            int newLimitCalls,
            long newWindowMillis,
            int newBaseAllocation,
            int newActiveRosterCount,
            long nowNanos) {
        generation = newGeneration;
        activeRosterCount = newActiveRosterCount;
        limitCalls = newLimitCalls;
        baseAllocation = newBaseAllocation;
        if (newWindowMillis != windowMillis) {
            windowMillis = newWindowMillis;
            used.resize(windowNanos(), nowNanos);
            demand.resize(newWindowMillis, nowNanos);
        }
        quotaValidUntilNanos = Long.MIN_VALUE;
    }

    /** Counts a call if the quota allows it. Returns whether it does. */
    boolean tryAcquire(long nowNanos) {
        demand.recordCall(nowNanos);
        if (used.count(nowNanos) >= quotaCalls(nowNanos)) {
            return false;
        }
        used.add(nowNanos);
        return true;
    }

    /** Returns the calls that the node may currently admit in any window. */
    int quotaCalls(long nowNanos) {
        if (nowNanos < quotaValidUntilNanos) {
            return quotaCalls;
        }
        long calls = ledger.freeCalls(baseAllocation, windowNanos(), nowNanos);
        long validUntil = ledger.nextChangeNanos(windowNanos(), nowNanos);
        for (QuotaLease lease : leases.values()) {
            calls += lease.usableCalls(nowNanos);
            validUntil = Math.min(validUntil, lease.nextChangeNanos(nowNanos));
        }
        quotaCalls = (int) Math.min(Integer.MAX_VALUE, calls);
        quotaValidUntilNanos = validUntil;
        return quotaCalls;
    }

    int baseAllocation() {
        return baseAllocation;
    }

    HolderLedger.Decision decide(QuotaRequest request, long nowNanos) {
        quotaValidUntilNanos = Long.MIN_VALUE;
        int holderWanted = Math.min(baseAllocation, demand.wantedCalls(limitCalls, nowNanos));
        HolderLedger.HolderDemand holder =
                new HolderLedger.HolderDemand(baseAllocation, holderWanted, used.count(nowNanos));
        return ledger.decide(request, holder, windowNanos(), nowNanos);
    }

    void applyGrant(String holder, QuotaGrant grant, long nowNanos) {
        QuotaLease lease = leases.get(holder);
        if (lease != null && lease.applyGrant(grant, idleCalls(nowNanos), windowNanos(), nowNanos)) {
            quotaValidUntilNanos = Long.MIN_VALUE;
        }
    }

    void recordFailure(String holder, long requestId) {
        QuotaLease lease = leases.get(holder);
        if (lease != null) {
            lease.recordFailure(requestId);
        }
    }

    /**
     * Decides which holders to send a request to now.
     *
     * @param holders holders in the order in which this node sends them requests
     * @param allocationOf base allocation of a holder, zero if the holder is unreachable
     */
    List<PlannedRequest> planRequests(List<String> holders, ToIntFunction<String> allocationOf, long nowNanos) {
        int retained = demand.retainedCalls(limitCalls, nowNanos);
        if (retained == 0 && leases.isEmpty()) {
            return List.of();
        }
        int free = ledger.freeCalls(baseAllocation, windowNanos(), nowNanos);
        Map<String, Integer> retainedByHolder =
                divideAmongHolders(Math.max(0, retained - free), holders, allocationOf, nowNanos);
        Map<String, Integer> wantedByHolder = divideAmongHolders(
                Math.max(0, demand.wantedCalls(limitCalls, nowNanos) - free), holders, allocationOf, nowNanos);
        for (String holder : retainedByHolder.keySet()) {
            leases.computeIfAbsent(holder, name -> new QuotaLease(periodNanos));
        }
        List<PlannedRequest> requests = new ArrayList<>();
        Iterator<Map.Entry<String, QuotaLease>> iterator = leases.entrySet().iterator();
        while (iterator.hasNext()) {
            Map.Entry<String, QuotaLease> entry = iterator.next();
            QuotaLease lease = entry.getValue();
            int retainedCalls = retainedByHolder.getOrDefault(entry.getKey(), 0);
            PlannedRequest request =
                    new PlannedRequest(entry.getKey(), wantedByHolder.getOrDefault(entry.getKey(), 0), retainedCalls);
            if (lease.isRequestDue(request.wantCalls(), windowNanos(), nowNanos)) {
                requests.add(request);
            } else if (request.retainedCalls() == 0 && lease.isRemovable(nowNanos)) {
                iterator.remove();
            }
        }
        return requests;
    }

    /**
     * Divides the needed calls among the holders. Existing grants are retained unless their sum is too large. A
     * shortfall is requested from the holders whose last grant was complete; a holder whose last grant fell short gets
     * a request for only a part of it.
     */
    private Map<String, Integer> divideAmongHolders(
            int calls, List<String> holders, ToIntFunction<String> allocationOf, long nowNanos) {
        Map<String, Integer> wantedByHolder = new LinkedHashMap<>();
        long totalHeld = 0;
        for (QuotaLease lease : leases.values()) {
            totalHeld += lease.heldCalls(nowNanos);
        }
        boolean hasSurplus = totalHeld > calls + Math.max(2, calls / SURPLUS_DIVISOR);
        int remaining = calls;
        long shortfall = Math.max(0, calls - totalHeld);
        for (String holder : holders) {
            QuotaLease lease = leases.get(holder);
            int held = lease == null ? 0 : lease.heldCalls(nowNanos);
            int wanted = hasSurplus ? Math.min(held, remaining) : held;
            if (shortfall > 0) {
                boolean fellShort = lease != null && lease.hasShortfall();
                long increase = fellShort ? shortfall / SHORTFALL_DIVISOR + 1 : shortfall;
                int raised = (int) Math.max(held, Math.min(allocationOf.applyAsInt(holder), held + increase));
                shortfall -= fellShort ? 0 : raised - held;
                wanted = raised;
            }
            remaining -= wanted;
            if (wanted > 0) {
                wantedByHolder.put(holder, wanted);
            }
        }
        return wantedByHolder;
    }

    /** Records a request that is about to be sent and returns its lease. */
    QuotaLease recordRequest(PlannedRequest request, long requestId, long nowNanos) {
        QuotaLease lease = leases.get(request.holder());
        lease.recordRequest(requestId, request.wantCalls(), request.retainedCalls(), idleCalls(nowNanos), nowNanos);
        quotaValidUntilNanos = Long.MIN_VALUE;
        return lease;
    }

    /** Returns the calls of the quota that were not used within the last window. */
    private long idleCalls(long nowNanos) {
        return Math.max(0, quotaCalls(nowNanos) - used.count(nowNanos));
    }

    /**
     * Retires this state if the node holds and has granted no quota and no call of the last window counts. Returns
     * whether it is retired.
     */
    boolean tryRetire(long nowNanos) {
        for (QuotaLease lease : leases.values()) {
            if (lease.heldCalls(nowNanos) > 0) {
                return false;
            }
        }
        retired = used.count(nowNanos) == 0 && ledger.isEmpty(windowNanos(), nowNanos);
        return retired;
    }

    String party() {
        return party;
    }

    private long windowNanos() {
        return LimitTiming.guardedWindowNanos(windowMillis);
    }

    /**
     * A request to send to a holder: the calls that the node wants, and the calls that it does not release beforehand.
     */
    record PlannedRequest(String holder, int wantCalls, int retainedCalls) {}
}
