package io.jaywick.core.limits;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;

import io.jaywick.core.message.QuotaGrant;
import io.jaywick.core.message.QuotaRequest;

/** All that one node knows of one party's quota. Its methods are called under its own monitor. */
final class PartyState {

    /** The sliding window is longer by up to this part of itself, in exchange for fixed memory. */
    private static final int COUNTER_BUCKETS = 128;

    private final String party;
    private final long periodNanos;
    private final WindowCounter used;
    private final DemandMeter demand;
    private final HolderLedger ledger;
    private final Map<String, ReceiverLine> lines = new LinkedHashMap<>();

    private int limitCalls;
    private long windowMillis;
    private int share;
    private long generation = -1;
    private int rostersInForce;
    private boolean retired;

    private int quota;
    private long quotaUntilNanos = Long.MIN_VALUE;

    PartyState(String party, long windowMillis, long periodNanos) {
        this.party = party;
        this.periodNanos = periodNanos;
        this.windowMillis = windowMillis;
        this.used = new WindowCounter(LimitTiming.windowNanos(windowMillis), COUNTER_BUCKETS);
        this.demand = new DemandMeter(windowMillis);
        this.ledger = new HolderLedger(periodNanos);
    }

    boolean isRetired() {
        return retired;
    }

    long generation() {
        return generation;
    }

    /** Rosters from which the base share was computed. */
    int rostersInForce() {
        return rostersInForce;
    }

    long windowMillis() {
        return windowMillis;
    }

    /** Applies the limit and base share of a table version. */
    void configure(
            long newGeneration,
            int newLimitCalls,
            long newWindowMillis,
            int newShare,
            int newRostersInForce,
            long nowNanos) {
        generation = newGeneration;
        rostersInForce = newRostersInForce;
        limitCalls = newLimitCalls;
        share = newShare;
        if (newWindowMillis != windowMillis) {
            windowMillis = newWindowMillis;
            used.resize(windowNanos(), nowNanos);
            demand.resize(newWindowMillis, nowNanos);
        }
        quotaUntilNanos = Long.MIN_VALUE;
    }

    /** Counts a call when the quota allows it. */
    boolean tryAcquire(long nowNanos) {
        demand.add(nowNanos);
        if (used.count(nowNanos) >= quota(nowNanos)) {
            return false;
        }
        used.add(nowNanos);
        return true;
    }

    /** Calls that the node may admit in any window, now. */
    int quota(long nowNanos) {
        if (nowNanos < quotaUntilNanos) {
            return quota;
        }
        long calls = ledger.free(share, windowNanos(), nowNanos);
        long until = ledger.nextChangeNanos(windowNanos(), nowNanos);
        for (ReceiverLine line : lines.values()) {
            calls += line.usable(nowNanos);
            until = Math.min(until, line.nextChangeNanos(nowNanos));
        }
        quota = (int) Math.min(Integer.MAX_VALUE, calls);
        quotaUntilNanos = until;
        return quota;
    }

    /** Calls admitted within the window that ends now, rounded up. */
    long usedCalls(long nowNanos) {
        return used.count(nowNanos);
    }

    int share() {
        return share;
    }

    HolderLedger.Decision decide(QuotaRequest request, long nowNanos) {
        quotaUntilNanos = Long.MIN_VALUE;
        int ownWant = Math.min(share, demand.wantedCalls(limitCalls, nowNanos));
        HolderLedger.Own own = new HolderLedger.Own(share, ownWant, used.count(nowNanos));
        return ledger.decide(request, own, windowNanos(), nowNanos);
    }

    void accept(String holder, QuotaGrant grant, long nowNanos) {
        ReceiverLine line = lines.get(holder);
        if (line != null && line.accept(grant, windowNanos(), nowNanos)) {
            quotaUntilNanos = Long.MIN_VALUE;
        }
    }

    void fail(String holder, long requestId) {
        ReceiverLine line = lines.get(holder);
        if (line != null) {
            line.fail(requestId);
        }
    }

    /**
     * Decides which holders to ask now.
     *
     * @param holders holders in the order in which this node asks them
     * @param shareOf base share of a holder, zero for one that cannot be reached
     */
    List<Ask> plan(List<String> holders, ToIntFunction<String> shareOf, long nowNanos) {
        int wanted = demand.wantedCalls(limitCalls, nowNanos);
        if (wanted == 0 && lines.isEmpty()) {
            return List.of();
        }
        int remaining = wanted - Math.min(wanted, ledger.free(share, windowNanos(), nowNanos));
        List<Ask> asks = new ArrayList<>();
        Map<String, Integer> wants = new LinkedHashMap<>();
        for (String holder : holders) {
            int want = Math.min(remaining, shareOf.applyAsInt(holder));
            if (want > 0) {
                ReceiverLine line = lines.computeIfAbsent(holder, name -> new ReceiverLine(periodNanos));
                wants.put(holder, want);
                remaining -= line.expected(want);
            }
        }
        Iterator<Map.Entry<String, ReceiverLine>> iterator = lines.entrySet().iterator();
        while (iterator.hasNext()) {
            Map.Entry<String, ReceiverLine> entry = iterator.next();
            ReceiverLine line = entry.getValue();
            int want = wants.getOrDefault(entry.getKey(), 0);
            if (line.isDue(want, line.held(nowNanos), windowNanos(), nowNanos)) {
                asks.add(new Ask(entry.getKey(), want));
            } else if (want == 0 && line.isIdle(nowNanos)) {
                iterator.remove();
            }
        }
        return asks;
    }

    /** Records a request that is about to be sent and returns the calls still held of the holder's grant. */
    int send(Ask ask, long requestId, long nowNanos) {
        quotaUntilNanos = Long.MIN_VALUE;
        return lines.get(ask.holder()).send(requestId, ask.wantCalls(), nowNanos);
    }

    /** Marks the state as unused when nothing of it can matter any more. */
    boolean retire(long nowNanos) {
        for (ReceiverLine line : lines.values()) {
            if (line.held(nowNanos) > 0) {
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
        return LimitTiming.windowNanos(windowMillis);
    }

    /** A request to send. */
    record Ask(String holder, int wantCalls) {}
}
