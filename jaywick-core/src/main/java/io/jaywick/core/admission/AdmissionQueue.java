package io.jaywick.core.admission;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Bounded queue of the calls that wait for a slot. Each call taken out credits every waiting party with its agreed
 * share; a party with a credit of one call is served first, so that it keeps its share however much the others send.
 * What is left goes to the higher importance, then to the party that received the least of it. Not thread-safe.
 */
public final class AdmissionQueue {

    /** A party cannot save up more calls than these while it waits. */
    private static final double MAX_CREDIT = 2;

    private static final double ROUNDING_TOLERANCE = 1e-9;

    private static final class PartyQueue {
        final ArrayDeque<QueuedCall> calls = new ArrayDeque<>();
        double credit;
        long spareSlotsServed;

        double agreedShare() {
            return calls.getFirst().agreedShare;
        }

        /** The first of the most important calls. */
        QueuedCall highestPriority() {
            QueuedCall highest = null;
            for (QueuedCall call : calls) {
                if (highest == null || call.outranks(highest)) {
                    highest = call;
                }
            }
            return highest;
        }

        /** The last of the least important calls. */
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
     * Adds a call.
     *
     * @return the call that must be refused because the queue is full, which may be the one given, or null
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

    /** Takes the next call out, or returns null. */
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

    /** Removes a call that no longer waits; returns false when it has left the queue before. */
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

    /** Removes a call whose deadline has passed, or returns null. */
    public QueuedCall pollExpired(long now) {
        for (PartyQueue partyQueue : partyQueues.values()) {
            for (Iterator<QueuedCall> calls = partyQueue.calls.iterator(); calls.hasNext(); ) {
                QueuedCall call = calls.next();
                if (now - call.deadlineNanos >= 0) {
                    remove(call);
                    return call;
                }
            }
        }
        return null;
    }

    /**
     * A party within its share of the places takes one from a party that exceeds its own; above its share a call takes
     * the place of a less important one only.
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

    /** Even a small share keeps one place; without it the party could never become due for a slot. */
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
