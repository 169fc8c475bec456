package io.jaywick.node.relay;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.jaywick.node.peer.PeerServer;

/**
 * The drain of a node from the request to stop until no call is in flight or the grace period ends. Runs on the event
 * loop of the relay.
 */
final class RelayDrain {

    /** Interval at which a draining node checks whether it may shut down. */
    private static final long DRAIN_CHECK_INTERVAL_MILLIS = 50;

    /**
     * A drain lasts at least this long within the grace period, because the platform detects that a node is not ready
     * only after two probes, one per second.
     */
    private static final long READINESS_DETECTION_MILLIS = 2_300;

    /**
     * Fraction of the grace period after which calls of local callers are refused, so that calls accepted before can
     * complete in the remainder. Callers that still send calls at that time have no other node to use. Calls made for a
     * request that the local target runs are accepted until the end, because the node waits for that request.
     */
    private static final double REFUSE_AFTER_GRACE_FRACTION = 0.45;

    /**
     * Fraction of the grace period during which a draining node still accepts calls to its target that are expected to
     * end before the shutdown: the node waits that long for its callers anyway, and other targets may be at capacity.
     */
    private static final double ACCEPT_DURING_GRACE_FRACTION = 0.25;

    /** Interval at which a draining node logs what it still waits for. */
    private static final long WAIT_LOG_INTERVAL_MILLIS = 1_000;

    /**
     * Time between the refusal of all calls and the end of the drain. Callers and other nodes whose calls are on their
     * way get a refusal, and the other nodes learn which calls were accepted.
     */
    private static final long LAST_REFUSALS_MILLIS = 150;

    /** Time between the planned shutdown and the forced end of the process. */
    private static final long SHUTDOWN_MARGIN_MILLIS = 500;

    /**
     * Calls must be answered this long before the planned shutdown, so that a response that the target sends at the
     * deadline is still forwarded.
     */
    private static final long RESPONSE_MARGIN_MILLIS = 150;

    private final RelayContext context;
    private final RelaySettings settings;
    private final RelayLog log;
    private final LocalTarget localTarget;
    private final OutboundCalls outboundCalls;
    private final PeerCalls peerCalls;
    private final ClientListener clientListener;
    private final PeerServer peerServer;
    private final SourceExchange sourceExchange;
    private final CompletableFuture<Void> completed = new CompletableFuture<>();
    private volatile boolean started;
    private long startNanos;
    private boolean refusingCallsToLocalTarget;
    private boolean refusingAll;
    private boolean lastRefusalsSent;
    private boolean callsAborted;
    private long nextWaitLogMillis = READINESS_DETECTION_MILLIS + WAIT_LOG_INTERVAL_MILLIS;

    RelayDrain(
            RelayContext context,
            LocalTarget localTarget,
            OutboundCalls outboundCalls,
            PeerCalls peerCalls,
            ClientListener clientListener,
            PeerServer peerServer,
            SourceExchange sourceExchange) {
        this.context = context;
        this.settings = context.settings();
        this.log = context.log();
        this.localTarget = localTarget;
        this.outboundCalls = outboundCalls;
        this.peerCalls = peerCalls;
        this.clientListener = clientListener;
        this.peerServer = peerServer;
        this.sourceExchange = sourceExchange;
    }

    boolean isStarted() {
        return started;
    }

    /** Completes when no call is in flight, or shortly before the forced end of the process. */
    CompletableFuture<Void> completed() {
        return completed;
    }

    /** Starts the drain; does nothing if it has started. */
    void start() {
        if (started) {
            return;
        }
        started = true;
        startNanos = context.nanoTime();
        log.info(
                "node drain started",
                "callsUnderWay",
                outboundCalls.inFlight(),
                "takenFromPeers",
                peerCalls.accepted());
        long endMillis = settings.graceMillis() - SHUTDOWN_MARGIN_MILLIS - RESPONSE_MARGIN_MILLIS;
        DrainDeadline deadline = context.drainDeadline();
        deadline.set(startNanos + TimeUnit.MILLISECONDS.toNanos(Math.max(0, endMillis)));
        localTarget.setShutdownDeadline(deadline.endNanos());
        sourceExchange.drain();
        clientListener.drain();
        context.runtime()
                .loop()
                .scheduleAtFixedRate(
                        this::checkDrained,
                        DRAIN_CHECK_INTERVAL_MILLIS,
                        DRAIN_CHECK_INTERVAL_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private void checkDrained() {
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(context.nanoTime() - startNanos);
        boolean isOverdue = elapsedMillis >= settings.graceMillis() - SHUTDOWN_MARGIN_MILLIS;
        if (elapsedMillis >= settings.graceMillis() * ACCEPT_DURING_GRACE_FRACTION) {
            refuseCallsToLocalTarget(elapsedMillis);
        }
        if (elapsedMillis >= settings.graceMillis() * REFUSE_AFTER_GRACE_FRACTION) {
            outboundCalls.refuseNew();
        }
        if (elapsedMillis < READINESS_DETECTION_MILLIS && !isOverdue) {
            return;
        }
        outboundCalls.refuseLong();
        clientListener.closeWhenIdle();
        boolean idle = !clientListener.hasBusyConnections()
                && localTarget.running() == 0
                && peerCalls.accepted() == 0
                && peerServer.unwrittenReplies() == 0;
        if (completed.isDone()) {
            return;
        }
        if (idle || elapsedMillis >= settings.graceMillis() - SHUTDOWN_MARGIN_MILLIS - LAST_REFUSALS_MILLIS) {
            refuseAll(elapsedMillis);
        }
        if (idle && (lastRefusalsSent || isOverdue) || callsAborted) {
            log.info("node drained", "afterMillis", elapsedMillis);
            completed.complete(null);
        } else if (isOverdue) {
            abortCalls(elapsedMillis);
        } else if (elapsedMillis >= nextWaitLogMillis) {
            nextWaitLogMillis = elapsedMillis + WAIT_LOG_INTERVAL_MILLIS;
            logWait("drain waits", elapsedMillis);
        }
    }

    private void logWait(String message, long elapsedMillis) {
        log.info(
                message,
                "afterMillis",
                elapsedMillis,
                "calls",
                outboundCalls.inFlight(),
                "ofPeers",
                peerCalls.accepted(),
                "running",
                localTarget.running(),
                "waiting",
                localTarget.waiting(),
                "receiving",
                clientListener.receiving(),
                "unwrittenResponses",
                clientListener.unwrittenResponses(),
                "unwrittenReplies",
                peerServer.unwrittenReplies());
    }

    /** Refuses all calls from now on; the process may exit at any time after the drain, without an answer to others. */
    private void refuseAll(long elapsedMillis) {
        if (refusingAll) {
            return;
        }
        refusingAll = true;
        outboundCalls.refuseAll();
        refuseCallsToLocalTarget(elapsedMillis);
        context.runtime().loop().schedule(() -> lastRefusalsSent = true, LAST_REFUSALS_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void refuseCallsToLocalTarget(long elapsedMillis) {
        if (refusingCallsToLocalTarget) {
            return;
        }
        refusingCallsToLocalTarget = true;
        log.info(
                "draining node refuses calls to its target",
                "afterMillis",
                elapsedMillis,
                "running",
                localTarget.running(),
                "waiting",
                localTarget.waiting());
        localTarget.refuseNew();
        peerServer.sendGoAway();
    }

    /** Aborts the calls in flight; their responses are written before the next drain check, which ends the drain. */
    private void abortCalls(long elapsedMillis) {
        callsAborted = true;
        logWait("calls in flight aborted", elapsedMillis);
        localTarget.refuseQueued();
        outboundCalls.abortAll();
        peerCalls.abortAll();
    }
}
