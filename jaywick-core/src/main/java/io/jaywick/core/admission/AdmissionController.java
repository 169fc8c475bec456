package io.jaywick.core.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

import io.jaywick.core.routing.RefusalReason;
import io.jaywick.core.snapshot.Server;
import io.jaywick.core.snapshot.Service;
import io.jaywick.core.snapshot.Snapshot;

/**
 * Last word on each call at the node beside the target: it refuses before the target sees a byte. Thread-safe;
 * callbacks run outside the lock on the thread that frees the slot.
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

    /** Takes a table into force. The ramp begins when the data centre of the server has become available again. */
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

    /** The target said whether it drains. */
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

    /** Refuses everything that has not been passed to the target. */
    public void shutDown() {
        List<QueuedCall> refused = new ArrayList<>();
        synchronized (this) {
            shuttingDown = true;
            drainQueue(refused);
        }
        refuseAll(refused, RefusalReason.DRAINING);
    }

    /** Returns why a call cannot be accepted at all, or null. */
    public synchronized RefusalReason closedReason() {
        if (shuttingDown || targetDraining) {
            return RefusalReason.DRAINING;
        }
        if (snapshot == null) {
            return RefusalReason.NO_TABLE;
        }
        return isOutOfService(server) ? RefusalReason.DATA_CENTRE_OUT : null;
    }

    /** Admits the call, lets it wait or refuses it. Exactly one callback follows, possibly within this call. */
    public void submit(QueuedCall call) {
        RefusalReason reason;
        QueuedCall refused = call;
        boolean admitted = false;
        synchronized (this) {
            long now = nanoTime.getAsLong();
            reason = closedReason();
            if (reason == null && now - call.deadlineNanos >= 0) {
                reason = RefusalReason.DEADLINE;
            }
            if (reason == null) {
                if (queue.size() == 0 && inFlight < limit(now)) {
                    inFlight++;
                    admitted = true;
                } else {
                    refused = queue.add(call);
                    reason = capacityRefusalReason(now);
                }
            }
        }
        if (admitted) {
            call.onAdmitted();
        } else if (refused != null) {
            refused.onRefused(reason);
        }
    }

    /** The caller has gone or its deadline has passed; returns false when the call no longer waited. */
    public synchronized boolean cancel(QueuedCall call) {
        return queue.remove(call);
    }

    /** A whole answer came from the target. */
    public synchronized void recordAnswer(String route, long dispatchedNanos) {
        concurrency.recordAnswer(route, dispatchedNanos, nanoTime.getAsLong());
    }

    /** The target shed a call. */
    public synchronized void recordTargetRefusal() {
        concurrency.recordRefusal();
    }

    /** The connection to the target was lost or refused. */
    public synchronized void recordTargetLoss() {
        concurrency.recordTargetLoss();
    }

    /** A call has left the target. Tell the outcome of the call first. */
    public void release() {
        synchronized (this) {
            inFlight--;
        }
        dispatch();
    }

    /** Refuses calls whose deadline has passed and admits what the limit allows by now. Call it from a timer. */
    public void dispatch() {
        while (true) {
            QueuedCall next;
            boolean expired = true;
            synchronized (this) {
                long now = nanoTime.getAsLong();
                next = queue.pollExpired(now);
                if (next == null) {
                    expired = false;
                    next = inFlight < limit(now) ? queue.poll() : null;
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

    /** Calls that wait for a slot. */
    public synchronized int queued() {
        return queue.size();
    }

    /** Slots of the target by the table. */
    public synchronized int slots() {
        return slots;
    }

    /** Concurrency allowed at this moment. */
    public synchronized int limit() {
        return limit(nanoTime.getAsLong());
    }

    private int limit(long now) {
        return Math.min(concurrency.limit(), ramp.limit(slots, now));
    }

    private RefusalReason capacityRefusalReason(long now) {
        return limit(now) < slots ? RefusalReason.COLD : RefusalReason.OVERLOADED;
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
