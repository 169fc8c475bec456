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

    /** A surplus below this part of the need is kept, so that small changes of demand cost no messages. */
    private static final int SURPLUS_PART = 4;

    /** A holder that could not give all is asked for this part of what is missing. */
    private static final int MISSING_PARTS = 4;

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
        this.used = new WindowCounter(LimitTiming.guardedWindowNanos(windowMillis), COUNTER_BUCKETS);
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
        if (line != null && line.accept(grant, idleCalls(nowNanos), windowNanos(), nowNanos)) {
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
        int kept = demand.keptCalls(limitCalls, nowNanos);
        if (kept == 0 && lines.isEmpty()) {
            return List.of();
        }
        int free = ledger.free(share, windowNanos(), nowNanos);
        Map<String, Integer> keeps = split(Math.max(0, kept - free), holders, shareOf, nowNanos);
        Map<String, Integer> wants =
                split(Math.max(0, demand.wantedCalls(limitCalls, nowNanos) - free), holders, shareOf, nowNanos);
        for (String holder : keeps.keySet()) {
            lines.computeIfAbsent(holder, name -> new ReceiverLine(periodNanos));
        }
        List<Ask> asks = new ArrayList<>();
        Iterator<Map.Entry<String, ReceiverLine>> iterator = lines.entrySet().iterator();
        while (iterator.hasNext()) {
            Map.Entry<String, ReceiverLine> entry = iterator.next();
            ReceiverLine line = entry.getValue();
            int keep = keeps.getOrDefault(entry.getKey(), 0);
            Ask ask = new Ask(entry.getKey(), wants.getOrDefault(entry.getKey(), 0), keep);
            if (line.isDue(ask.wantCalls(), windowNanos(), nowNanos)) {
                asks.add(ask);
            } else if (ask.keptCalls() == 0 && line.isIdle(nowNanos)) {
                iterator.remove();
            }
        }
        return asks;
    }

    /**
     * Divides calls over the holders. Each keeps what it lent, as long as the sum is not too large; what is missing is
     * asked of the holders that have not refused, and a part of it of each that has.
     */
    private Map<String, Integer> split(int calls, List<String> holders, ToIntFunction<String> shareOf, long nowNanos) {
        Map<String, Integer> wants = new LinkedHashMap<>();
        long lent = 0;
        for (ReceiverLine line : lines.values()) {
            lent += line.held(nowNanos);
        }
        boolean surplus = lent > calls + Math.max(2, calls / SURPLUS_PART);
        int remaining = calls;
        long missing = Math.max(0, calls - lent);
        for (String holder : holders) {
            ReceiverLine line = lines.get(holder);
            int held = line == null ? 0 : line.held(nowNanos);
            int want = surplus ? Math.min(held, remaining) : held;
            if (missing > 0) {
                boolean refused = line != null && line.isLacking();
                long more = refused ? missing / MISSING_PARTS + 1 : missing;
                int raised = (int) Math.max(held, Math.min(shareOf.applyAsInt(holder), held + more));
                missing -= refused ? 0 : raised - held;
                want = raised;
            }
            remaining -= want;
            if (want > 0) {
                wants.put(holder, want);
            }
        }
        return wants;
    }

    /** Records a request that is about to be sent and returns its line. */
    ReceiverLine send(Ask ask, long requestId, long nowNanos) {
        ReceiverLine line = lines.get(ask.holder());
        line.send(requestId, ask.wantCalls(), ask.keptCalls(), idleCalls(nowNanos), nowNanos);
        quotaUntilNanos = Long.MIN_VALUE;
        return line;
    }

    /** Calls of the quota that no call of the last window needed. */
    private long idleCalls(long nowNanos) {
        return Math.max(0, quota(nowNanos) - used.count(nowNanos));
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
        return LimitTiming.guardedWindowNanos(windowMillis);
    }

    /** A request to send, with the calls that the node keeps in any case. */
    record Ask(String holder, int wantCalls, int keptCalls) {}
}
