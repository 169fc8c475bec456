package io.jaywick.core.admission;

import java.util.ArrayDeque;

/**
 * Limits a target to one suspect request at a time. A second crash then identifies the request that causes crashes, and
 * not other requests that were in flight at the first crash as well. Thread-safe.
 */
public final class SuspectSlot {

    private static final int MAX_WAITING_CALLS = 64;

    private final ArrayDeque<Runnable> waitingCalls = new ArrayDeque<>();
    private boolean occupied;

    /** Runs the call now, or as soon as the slot is free. Returns false without running it if too many calls wait. */
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

    /**
     * Frees the slot after the suspect request has ended at the target or its call was refused, and runs the next
     * waiting call.
     */
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
