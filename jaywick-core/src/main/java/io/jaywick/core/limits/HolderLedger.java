package io.jaywick.core.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

import io.jaywick.core.message.QuotaRequest;

/**
 * What a holder gave away of its base share of one party. Each call of the share is in exactly one place: free at the
 * holder, granted to a receiver, or resting until one window has passed since its last possible use. Not safe for
 * concurrent use.
 */
final class HolderLedger {

    /** Receivers with a line per party; a request beyond it is answered with no quota. */
    static final int MAX_LINES = 1_024;

    /** Fewer calls are not taken from a receiver for the sake of others. */
    private static final int MIN_TAKEN = 2;

    private final long periodNanos;
    private final Map<String, Line> lines = new HashMap<>();
    private final List<Rest> resting = new ArrayList<>();

    HolderLedger(long periodNanos) {
        this.periodNanos = periodNanos;
    }

    /** Calls of the share that the holder itself may use now. */
    int free(int share, long windowNanos, long nowNanos) {
        expire(nowNanos);
        long taken = 0;
        for (Line line : lines.values()) {
            taken += line.granted;
        }
        for (Rest rest : resting) {
            if (rest.stoppedNanos + windowNanos > nowNanos) {
                taken += rest.calls;
            }
        }
        return (int) Math.max(0, share - taken);
    }

    /** First instant after now at which {@link #free} may rise. */
    long nextChangeNanos(long windowNanos, long nowNanos) {
        long next = Long.MAX_VALUE;
        for (Line line : lines.values()) {
            next = Math.min(next, line.endNanos);
        }
        for (Rest rest : resting) {
            if (rest.stoppedNanos + windowNanos > nowNanos) {
                next = Math.min(next, rest.stoppedNanos + windowNanos);
            }
        }
        return next;
    }

    /** True when nothing is granted or resting. */
    boolean isEmpty(long windowNanos, long nowNanos) {
        expire(nowNanos);
        resting.removeIf(rest -> rest.stoppedNanos + windowNanos <= nowNanos);
        return lines.isEmpty() && resting.isEmpty();
    }

    /** Answers a request. */
    Decision decide(QuotaRequest request, Own own, long windowNanos, long nowNanos) {
        expire(nowNanos);
        resting.removeIf(rest -> rest.stoppedNanos + windowNanos <= nowNanos);
        Line line = lines.get(request.from());
        if (line != null && line.incarnation > request.incarnation()) {
            return Decision.NONE;
        }
        if (line != null && line.incarnation == request.incarnation()) {
            if (request.requestId() == line.requestId) {
                return line.decision;
            }
            if (request.requestId() < line.requestId) {
                return Decision.NONE;
            }
        }
        if (line != null && line.incarnation < request.incarnation()) {
            // The earlier process may have used its grant until the moment of its end.
            rest(line.granted, line.endNanos);
            lines.remove(request.from());
            line = null;
        }
        if (line == null) {
            if (lines.size() >= MAX_LINES) {
                return Decision.NONE;
            }
            line = new Line(request.incarnation(), nowNanos + LimitTiming.withDriftMargin(periodNanos));
            lines.put(request.from(), line);
        }
        int committed = line.granted + takeReclaimed(line, nowNanos);
        int held = Math.max(0, Math.min(request.heldCalls(), committed));
        int released = committed - held;
        // The receiver knows which calls it left unused only when it has seen the last answer.
        boolean sameView = line.requestId == request.answeredId();
        int idle = sameView ? Math.max(0, Math.min(request.idleCalls(), released)) : 0;
        rest(released - idle, nowNanos);
        line.granted = held;
        line.wanted = Math.max(0, request.wantCalls());
        return grant(line, request.requestId(), own, windowNanos, nowNanos);
    }

    private Decision grant(Line line, long requestId, Own own, long windowNanos, long nowNanos) {
        int held = line.granted;
        int fair = fairCalls(own.share, own.want);
        int target = Math.min(line.wanted, fair);
        int calls;
        int ready = 0;
        if (target < held) {
            // Quota that nobody else lacks stays with the receiver, whose next burst may need it.
            target = (int) Math.max(target, Math.min(held, held - lacking(line, own, fair, windowNanos, nowNanos)));
            // A receiver is not asked for a few calls, which would cost two messages whenever a demand changes.
            boolean small = held - target < Math.max(MIN_TAKEN, held / 3) && overdrawn(own.share) == 0;
            if (target == held || small) {
                return answer(line, requestId, held, 0, nowNanos);
            }
            // The receiver may miss the answer and use all that it held until the end of its last grant.
            line.reclaimed = held - target;
            line.reclaimedEndNanos = line.endNanos;
            rest(line.reclaimed, line.reclaimedEndNanos);
            calls = target;
        } else {
            int free = free(own.share, windowNanos, nowNanos);
            int ownReserve = Math.min(Math.min(own.want, fair), own.share);
            int grantable = grantableResting(nowNanos);
            long available = (long) free + grantable - ownReserve - overdrawn(own.share);
            int increase = (int) Math.max(0, Math.min(target - held, available));
            ready = (int) Math.max(0, Math.min(increase, free - ownReserve - own.used));
            takeResting(increase - ready, nowNanos);
            calls = held + increase;
        }
        return answer(line, requestId, calls, ready, nowNanos);
    }

    private Decision answer(Line line, long requestId, int calls, int ready, long nowNanos) {
        line.granted = calls;
        line.requestId = requestId;
        line.endNanos = nowNanos + LimitTiming.withDriftMargin(periodNanos);
        line.decision = new Decision(calls, ready);
        return line.decision;
    }

    /** Calls that the holder and the other receivers are entitled to and cannot get without taking from this one. */
    private long lacking(Line except, Own own, int fair, long windowNanos, long nowNanos) {
        int free = free(own.share, windowNanos, nowNanos);
        long lacking = Math.min(own.want, fair) - free - grantableResting(nowNanos);
        for (Line line : lines.values()) {
            if (line != except) {
                lacking += Math.max(0, Math.min(line.wanted, fair) - line.granted);
            }
        }
        return Math.max(0, Math.max(lacking, overdrawn(own.share)));
    }

    /** Calls that were granted beyond a share that has shrunk since. */
    private long overdrawn(int share) {
        long taken = 0;
        for (Line line : lines.values()) {
            taken += line.granted;
        }
        for (Rest rest : resting) {
            taken += rest.calls;
        }
        return Math.max(0, taken - share);
    }

    /** Max-min fair share of one receiver, at least one call, given what all receivers and the holder want. */
    private int fairCalls(int share, int ownWant) {
        long wanted = ownWant;
        for (Line line : lines.values()) {
            wanted += line.wanted;
        }
        if (wanted <= share) {
            return share;
        }
        List<Integer> wants = new ArrayList<>(lines.size() + 1);
        wants.add(ownWant);
        for (Line line : lines.values()) {
            wants.add(line.wanted);
        }
        wants.sort(null);
        int remaining = share;
        for (int i = 0; i < wants.size(); i++) {
            int level = remaining / (wants.size() - i);
            if (wants.get(i) > level) {
                return share == 0 ? 0 : Math.max(1, level);
            }
            remaining -= wants.get(i);
        }
        return share;
    }

    private int grantableResting(long nowNanos) {
        int calls = 0;
        for (Rest rest : resting) {
            if (rest.stoppedNanos <= nowNanos) {
                calls += rest.calls;
            }
        }
        return calls;
    }

    /** Takes calls that nobody uses any more; their next receiver waits one window itself. */
    private void takeResting(int calls, long nowNanos) {
        int left = calls;
        Iterator<Rest> iterator = resting.iterator();
        while (left > 0 && iterator.hasNext()) {
            Rest rest = iterator.next();
            if (rest.stoppedNanos > nowNanos) {
                continue;
            }
            int taken = Math.min(left, rest.calls);
            rest.calls -= taken;
            left -= taken;
            if (rest.calls == 0) {
                iterator.remove();
            }
        }
    }

    /** Takes back the calls that the receiver may have used since the last answer asked it to stop. */
    private int takeReclaimed(Line line, long nowNanos) {
        int calls = line.reclaimed;
        line.reclaimed = 0;
        if (calls == 0 || line.reclaimedEndNanos <= nowNanos) {
            return 0;
        }
        for (Rest rest : resting) {
            if (rest.stoppedNanos == line.reclaimedEndNanos) {
                rest.calls -= calls;
            }
        }
        resting.removeIf(rest -> rest.calls == 0);
        return calls;
    }

    private void expire(long nowNanos) {
        Iterator<Line> iterator = lines.values().iterator();
        while (iterator.hasNext()) {
            Line line = iterator.next();
            if (line.endNanos <= nowNanos) {
                rest(line.granted, line.endNanos);
                iterator.remove();
            }
        }
    }

    private void rest(int calls, long stoppedNanos) {
        if (calls <= 0) {
            return;
        }
        for (Rest rest : resting) {
            if (rest.stoppedNanos == stoppedNanos) {
                rest.calls += calls;
                return;
            }
        }
        resting.add(new Rest(calls, stoppedNanos));
    }

    /**
     * What the holder itself has and needs.
     *
     * @param share base share of the holder
     * @param want calls that it wants for its own callers
     * @param used calls that it admitted within the last window
     */
    record Own(int share, int want, long used) {}

    /** Grant to one receiver. */
    record Decision(int calls, int readyCalls) {

        static final Decision NONE = new Decision(0, 0);
    }

    private static final class Line {

        private final long incarnation;
        private int granted;
        private int wanted;
        private int reclaimed;
        private long reclaimedEndNanos;
        private long endNanos;
        private long requestId = Long.MIN_VALUE;
        private Decision decision = Decision.NONE;

        private Line(long incarnation, long endNanos) {
            this.incarnation = incarnation;
            this.endNanos = endNanos;
        }
    }

    /** Calls whose last use ended, or will have ended, at an instant. */
    private static final class Rest {

        private int calls;
        private final long stoppedNanos;

        private Rest(int calls, long stoppedNanos) {
            this.calls = calls;
            this.stoppedNanos = stoppedNanos;
        }
    }
}
