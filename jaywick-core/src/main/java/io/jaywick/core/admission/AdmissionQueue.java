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

    private static final double ROUNDING = 1e-9;

    private static final class Line {
        final ArrayDeque<QueuedCall> calls = new ArrayDeque<>();
        double credit;
        long spareServed;

        double share() {
            return calls.getFirst().agreedShare;
        }

        /** The first of the most important calls. */
        QueuedCall best() {
            QueuedCall best = null;
            for (QueuedCall call : calls) {
                if (best == null || call.outranks(best)) {
                    best = call;
                }
            }
            return best;
        }

        /** The last of the least important calls. */
        QueuedCall worst() {
            QueuedCall worst = null;
            for (QueuedCall call : calls) {
                if (worst == null || !call.outranks(worst)) {
                    worst = call;
                }
            }
            return worst;
        }
    }

    private final int capacity;
    private final Map<String, Line> lines = new LinkedHashMap<>();
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
        Line own = lines.get(call.party);
        QueuedCall displaced = null;
        if (size >= capacity) {
            displaced = displacedBy(call, own);
            if (displaced == call) {
                return call;
            }
            remove(displaced);
        }
        if (own == null) {
            own = new Line();
            own.spareServed = leastSpareServed();
        }
        lines.put(call.party, own);
        own.calls.addLast(call);
        call.waiting = true;
        size++;
        return displaced;
    }

    /** Takes the next call out, or returns null. */
    public QueuedCall poll() {
        if (size == 0) {
            return null;
        }
        Line owed = null;
        Line spare = null;
        QueuedCall best = null;
        for (Line line : lines.values()) {
            line.credit = Math.min(MAX_CREDIT, line.credit + line.share());
            if (line.credit >= 1 - ROUNDING && (owed == null || line.credit > owed.credit)) {
                owed = line;
            }
            QueuedCall call = line.best();
            if (best == null || call.outranks(best) || !best.outranks(call) && line.spareServed < spare.spareServed) {
                best = call;
                spare = line;
            }
        }
        if (owed != null) {
            owed.credit -= 1;
            best = owed.best();
        } else {
            spare.spareServed++;
        }
        remove(best);
        return best;
    }

    /** Removes a call that no longer waits; returns false when it has left the queue before. */
    public boolean remove(QueuedCall call) {
        if (!call.waiting) {
            return false;
        }
        call.waiting = false;
        Line line = lines.get(call.party);
        line.calls.remove(call);
        size--;
        if (line.calls.isEmpty()) {
            lines.remove(call.party);
        }
        return true;
    }

    /** Removes a call whose deadline has passed, or returns null. */
    public QueuedCall pollExpired(long now) {
        for (Line line : lines.values()) {
            for (Iterator<QueuedCall> calls = line.calls.iterator(); calls.hasNext(); ) {
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
    private QueuedCall displacedBy(QueuedCall call, Line own) {
        boolean withinShare = (own == null ? 0 : own.calls.size()) + 1 <= places(call.agreedShare);
        Line victim = null;
        double victimExcess = 0;
        for (Line line : lines.values()) {
            double excess = line.calls.size() - places(line.share());
            boolean exceeds = excess > 0;
            if (line != own
                    && exceeds
                    && (withinShare || call.outranks(line.worst()))
                    && (victim == null
                            || victim.worst().outranks(line.worst())
                            || !line.worst().outranks(victim.worst()) && excess > victimExcess)) {
                victim = line;
                victimExcess = excess;
            }
        }
        if (victim != null) {
            return victim.worst();
        }
        return own != null && call.outranks(own.worst()) ? own.worst() : call;
    }

    /** Even a small share keeps one place; without it the party could never become due for a slot. */
    private double places(double share) {
        return Math.max(1, share * capacity + ROUNDING);
    }

    private long leastSpareServed() {
        long least = Long.MAX_VALUE;
        for (Line line : lines.values()) {
            least = Math.min(least, line.spareServed);
        }
        return least == Long.MAX_VALUE ? 0 : least;
    }
}
