package io.jaywick.core.admission;

import java.util.ArrayDeque;

/**
 * Lets only one suspect request at a time run at a target, so that the second loss points at the crashing request and
 * not at the innocent ones that were in flight beside it at the first loss. Thread-safe.
 */
public final class SuspectSlot {

    private static final int MAX_WAITING_CALLS = 64;

    private final ArrayDeque<Runnable> waitingCalls = new ArrayDeque<>();
    private boolean occupied;

    /** Runs the call now or when the lane is free; returns false when too many wait. */
    public boolean acquire(Runnable call) {
        synchronized (this) {
            if (occupied) {
                return waitingCalls.size() < MAX_WAITING_CALLS && waitingCalls.add(call);
            }
            occupied = true;
        }
        call.run();
        return true;
    }

    /** The suspect request has left the target, or its call was refused. */
    public void release() {
        Runnable next;
        synchronized (this) {
            next = waitingCalls.poll();
            occupied = next != null;
        }
        if (next != null) {
            next.run();
        }
    }
}
