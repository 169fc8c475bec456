package io.jaywick.core.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

import io.jaywick.core.routing.RefusalReason;
import io.jaywick.core.snapshot.Server;
import io.jaywick.core.snapshot.Service;
import io.jaywick.core.snapshot.Snapshot;

/**
 * Admission control for the local target: admits, queues or refuses each call before any of it reaches the target.
 * Thread-safe. Callbacks run outside the lock, on the thread that called the method which decided on the queued call.
 */
public final class AdmissionController {

    private final String serverName;
    private final LongSupplier nanoTime;
    private final AdmissionQueue queue;
    private final ConcurrencyLimit concurrency;
    private final Ramp ramp;
    private Snapshot snapshot;
    private Server server;
    private int slots = 1;
    private int inFlight;
    private boolean targetDraining;
    private boolean shuttingDown;

    public AdmissionController(String serverName, int queueCapacity, long rampMillis, LongSupplier nanoTime) {
        this.serverName = serverName;
        this.nanoTime = nanoTime;
        this.queue = new AdmissionQueue(queueCapacity);
        this.ramp = new Ramp(rampMillis);
        this.concurrency = new ConcurrencyLimit(1, 1);
    }

    /** Activates a table. The ramp starts when the data centre of the server returns to service. */
    public void activate(Snapshot next) {
        List<QueuedCall> refused = new ArrayList<>();
        synchronized (this) {
            if (next == snapshot) {
                return;
            }
            Server before = server;
            server = next.servers().get(serverName);
            Service service = server == null ? null : next.services().get(server.service());
            if (service != null) {
                slots = Math.max(1, service.slotsPerServer());
                concurrency.configure(service.coldStartCalls(), slots);
                if (before == null) {
                    concurrency.recordTargetLoss();
                }
            }
            if (isOutOfService(server)) {
                drainQueue(refused);
            } else if (snapshot != null && isOutOfService(before)) {
                ramp.start(nanoTime.getAsLong());
            }
            snapshot = next;
        }
        refuseAll(refused, RefusalReason.DATA_CENTRE_OUT);
    }

    /** Records whether the target reports that it is draining. If it is, queued and new calls are refused. */
    public void setTargetDraining(boolean draining) {
        List<QueuedCall> refused = new ArrayList<>();
        synchronized (this) {
            targetDraining = draining;
            if (draining) {
                drainQueue(refused);
            }
        }
        refuseAll(refused, RefusalReason.DRAINING);
    }

    /** Refuses all calls that have not been passed to the target. */
    public void shutDown() {
        List<QueuedCall> refused = new ArrayList<>();
        synchronized (this) {
            shuttingDown = true;
            drainQueue(refused);
        }
        refuseAll(refused, RefusalReason.DRAINING);
    }

    /** Returns the reason for which no call can be admitted at all, or null if calls can be. */
    public synchronized RefusalReason closedReason() {
        if (shuttingDown || targetDraining) {
            return RefusalReason.DRAINING;
        }
        if (snapshot == null) {
            return RefusalReason.NO_TABLE;
        }
        return isOutOfService(server) ? RefusalReason.DATA_CENTRE_OUT : null;
    }

    /**
     * Admits, queues or refuses the call. Exactly one callback follows unless the call is cancelled, possibly before
     * this method returns.
     */
    public void submit(QueuedCall call) {
        RefusalReason reason;
        QueuedCall refused = call;
        boolean admitted = false;
        synchronized (this) {
            long nowNanos = nanoTime.getAsLong();
            reason = closedReason();
            if (reason == null && nowNanos - call.deadlineNanos >= 0) {
                reason = RefusalReason.DEADLINE;
            }
            if (reason == null) {
                if (queue.size() == 0 && inFlight < limit(nowNanos)) {
                    inFlight++;
                    admitted = true;
                } else {
                    refused = queue.add(call);
                    reason = capacityRefusalReason(nowNanos);
                }
            }
        }
        if (admitted) {
            call.onAdmitted();
        } else if (refused != null) {
            refused.onRefused(reason);
        }
    }

    /**
     * Removes a queued call whose caller has disconnected or whose deadline has passed. Returns false if the call was
     * not queued any more.
     */
    public synchronized boolean cancel(QueuedCall call) {
        return queue.remove(call);
    }

    /** Records a complete answer of the target. */
    public synchronized void recordAnswer(String route, long dispatchedNanos) {
        concurrency.recordAnswer(route, dispatchedNanos, nanoTime.getAsLong());
    }

    /** Records that the target shed a call. */
    public synchronized void recordTargetRefusal() {
        concurrency.recordRefusal();
    }

    /** Records that the connection to the target was lost or refused. */
    public synchronized void recordTargetLoss() {
        concurrency.recordTargetLoss();
    }

    /**
     * Frees the slot of a call that has ended at the target, and admits queued calls. The outcome of the call must be
     * recorded first, because it changes the limit.
     */
    public void release() {
        synchronized (this) {
            inFlight--;
        }
        dispatch();
    }

    /**
     * Refuses queued calls whose deadline has passed, and admits queued calls up to the current limit. Must be called
     * periodically, because deadlines pass and the ramp grows without another event.
     */
    public void dispatch() {
        while (true) {
            QueuedCall next;
            boolean expired = true;
            synchronized (this) {
                long nowNanos = nanoTime.getAsLong();
                next = queue.pollExpired(nowNanos);
                if (next == null) {
                    expired = false;
                    next = inFlight < limit(nowNanos) ? queue.poll() : null;
                    if (next != null) {
                        inFlight++;
                    }
                }
            }
            if (next == null) {
                return;
            }
            if (expired) {
                next.onRefused(RefusalReason.DEADLINE);
            } else {
                next.onAdmitted();
            }
        }
    }

    public synchronized int inFlight() {
        return inFlight;
    }

    /** Returns the number of calls that wait for a slot. */
    public synchronized int queued() {
        return queue.size();
    }

    /** Returns the slots of the target according to the table. */
    public synchronized int slots() {
        return slots;
    }

    /** Returns the number of calls that the target may currently run concurrently. */
    public synchronized int limit() {
        return limit(nanoTime.getAsLong());
    }

    private int limit(long nowNanos) {
        return Math.min(concurrency.limit(), ramp.limit(slots, nowNanos));
    }

    private RefusalReason capacityRefusalReason(long nowNanos) {
        return limit(nowNanos) < slots ? RefusalReason.COLD : RefusalReason.OVERLOADED;
    }

    private void drainQueue(List<QueuedCall> into) {
        for (QueuedCall call = queue.poll(); call != null; call = queue.poll()) {
            into.add(call);
        }
    }

    private static void refuseAll(List<QueuedCall> calls, RefusalReason reason) {
        for (QueuedCall call : calls) {
            call.onRefused(reason);
        }
    }

    private static boolean isOutOfService(Server server) {
        return server == null || !server.dataCentre().inService();
    }
}
