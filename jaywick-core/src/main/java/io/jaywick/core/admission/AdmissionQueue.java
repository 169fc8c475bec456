package io.jaywick.core.admission;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Bounded queue of the calls that wait for a slot, fair between parties. Each removal of a call for execution credits
 * every queued party with its agreed share; the party with the highest credit of at least one call is served first, so
 * that each party gets its share regardless of the load of the others. The remaining slots go to the highest
 * importance, then to the party that has received the fewest of them. Not thread-safe.
 */
public final class AdmissionQueue {

    /** Maximum credit, in calls, that a party can accumulate while it waits. */
    private static final double MAX_CREDIT = 2;

    private static final double ROUNDING_TOLERANCE = 1e-9;

    private static final class PartyQueue {
        final ArrayDeque<QueuedCall> calls = new ArrayDeque<>();
        double credit;
        long spareSlotsServed;

        double agreedShare() {
            return calls.getFirst().agreedShare;
        }

        /** Returns the call of the highest importance that was queued first. */
        QueuedCall highestPriority() {
            QueuedCall highest = null;
            for (QueuedCall call : calls) {
                if (highest == null || call.outranks(highest)) {
                    highest = call;
                }
            }
            return highest;
        }

        /** Returns the call of the lowest importance that was queued last. */
        QueuedCall lowestPriority() {
            QueuedCall lowest = null;
            for (QueuedCall call : calls) {
                if (lowest == null || !call.outranks(lowest)) {
                    lowest = call;
                }
            }
            return lowest;
        }
    }

    private final int capacity;
    private final Map<String, PartyQueue> partyQueues = new LinkedHashMap<>();
    private int size;

    public AdmissionQueue(int capacity) {
        this.capacity = capacity;
    }

    public int size() {
        return size;
    }

    /**
     * Adds a call. A full queue refuses the call or displaces another one.
     *
     * @return the call to refuse because the queue is full, possibly the given one, or null if there is none
     */
    public QueuedCall add(QueuedCall call) {
        if (capacity == 0) {
            return call;
        }
        PartyQueue own = partyQueues.get(call.party);
        QueuedCall displaced = null;
        if (size >= capacity) {
            displaced = selectDisplaced(call, own);
            if (displaced == call) {
                return call;
            }
            remove(displaced);
        }
        if (own == null) {
            own = new PartyQueue();
            own.spareSlotsServed = minSpareSlotsServed();
        }
        partyQueues.put(call.party, own);
        own.calls.addLast(call);
        call.isQueued = true;
        size++;
        return displaced;
    }

    /** Removes and returns the next call to execute, or null if the queue is empty. */
    public QueuedCall poll() {
        if (size == 0) {
            return null;
        }
        PartyQueue entitled = null;
        PartyQueue spareRecipient = null;
        QueuedCall next = null;
        for (PartyQueue partyQueue : partyQueues.values()) {
            partyQueue.credit = Math.min(MAX_CREDIT, partyQueue.credit + partyQueue.agreedShare());
            if (partyQueue.credit >= 1 - ROUNDING_TOLERANCE
                    && (entitled == null || partyQueue.credit > entitled.credit)) {
                entitled = partyQueue;
            }
            QueuedCall call = partyQueue.highestPriority();
            if (next == null
                    || call.outranks(next)
                    || !next.outranks(call) && partyQueue.spareSlotsServed < spareRecipient.spareSlotsServed) {
                next = call;
                spareRecipient = partyQueue;
            }
        }
        if (entitled != null) {
            entitled.credit -= 1;
            next = entitled.highestPriority();
        } else {
            spareRecipient.spareSlotsServed++;
        }
        remove(next);
        return next;
    }

    /** Removes a call. Returns false if the call was not queued any more. */
    public boolean remove(QueuedCall call) {
        if (!call.isQueued) {
            return false;
        }
        call.isQueued = false;
        PartyQueue partyQueue = partyQueues.get(call.party);
        partyQueue.calls.remove(call);
        size--;
        if (partyQueue.calls.isEmpty()) {
            partyQueues.remove(call.party);
        }
        return true;
    }

    /** Removes and returns a call whose deadline has passed, or null if there is none. */
    public QueuedCall pollExpired(long nowNanos) {
        for (PartyQueue partyQueue : partyQueues.values()) {
            for (Iterator<QueuedCall> calls = partyQueue.calls.iterator(); calls.hasNext(); ) {
                QueuedCall call = calls.next();
                if (nowNanos - call.deadlineNanos >= 0) {
                    remove(call);
                    return call;
                }
            }
        }
        return null;
    }

    /**
     * Selects the call to refuse when the queue is full. A party within its share of the positions displaces a call of
     * a party that exceeds its share; a call of a party above its share displaces only a less important one.
     */
    private QueuedCall selectDisplaced(QueuedCall call, PartyQueue own) {
        boolean withinShare = (own == null ? 0 : own.calls.size()) + 1 <= reservedPositions(call.agreedShare);
        PartyQueue displacedFrom = null;
        double displacedExcess = 0;
        for (PartyQueue partyQueue : partyQueues.values()) {
            double excess = partyQueue.calls.size() - reservedPositions(partyQueue.agreedShare());
            boolean exceeds = excess > 0;
            if (partyQueue != own
                    && exceeds
                    && (withinShare || call.outranks(partyQueue.lowestPriority()))
                    && (displacedFrom == null
                            || displacedFrom.lowestPriority().outranks(partyQueue.lowestPriority())
                            || !partyQueue.lowestPriority().outranks(displacedFrom.lowestPriority())
                                    && excess > displacedExcess)) {
                displacedFrom = partyQueue;
                displacedExcess = excess;
            }
        }
        if (displacedFrom != null) {
            return displacedFrom.lowestPriority();
        }
        return own != null && call.outranks(own.lowestPriority()) ? own.lowestPriority() : call;
    }

    /**
     * Returns the positions that a share is entitled to, at least one: a party earns credit for a slot only while it is
     * queued.
     */
    private double reservedPositions(double share) {
        return Math.max(1, share * capacity + ROUNDING_TOLERANCE);
    }

    private long minSpareSlotsServed() {
        long min = Long.MAX_VALUE;
        for (PartyQueue partyQueue : partyQueues.values()) {
            min = Math.min(min, partyQueue.spareSlotsServed);
        }
        return min == Long.MAX_VALUE ? 0 : min;
    }
}
