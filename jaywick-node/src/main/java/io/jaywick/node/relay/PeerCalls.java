package io.jaywick.node.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import io.jaywick.core.gate.GateRefusal;
import io.jaywick.core.message.ForwardAnswer;
import io.jaywick.core.message.ForwardCall;
import io.jaywick.core.message.ForwardCancel;
import io.jaywick.core.message.Message;
import io.jaywick.core.message.PeerLink;
import io.jaywick.core.message.Ping;
import io.jaywick.core.message.UpToDate;
import io.jaywick.node.http.StatusLines;
import io.jaywick.node.peer.MessageHandlers;
import io.jaywick.node.peer.PeerException;

/**
 * Forwards calls between nodes: sends calls to the targets of other nodes, and accepts their calls to the local target.
 */
final class PeerCalls {

    private static final UpToDate ACKNOWLEDGEMENT = new UpToDate(0, "", 0, 0);

    private final PeerLink link;
    private final CallTarget localTarget;
    private final RelayLog log;
    private final Map<String, AcceptedCall> accepted = new HashMap<>();

    private record AcceptedCall(PendingCall pending, CompletableFuture<Message> reply) {}

    PeerCalls(PeerLink link, CallTarget localTarget, RelayLog log) {
        this.link = link;
        this.localTarget = localTarget;
        this.log = log;
    }

    /** Registers the handlers of the messages about calls. */
    void register(MessageHandlers handlers) {
        handlers.register(ForwardCall.class, message -> accept((ForwardCall) message));
        handlers.register(ForwardCancel.class, message -> cancel((ForwardCancel) message));
        handlers.register(Ping.class, message -> CompletableFuture.completedFuture(ACKNOWLEDGEMENT));
    }

    /** Number of calls in flight that were accepted from other nodes. */
    int accepted() {
        return accepted.size();
    }

    /**
     * Cancels the accepted calls in flight because the node shuts down, and replies to their senders that the responses
     * are lost.
     */
    void abortAll() {
        accepted.forEach((callId, call) -> {
            log.callEvent("call from peer aborted", "callId", callId, "reason", "node-ends");
            call.pending.cancel();
            call.reply.complete(toForwardAnswer(CallResult.lost("node-ends")));
        });
        accepted.clear();
    }

    /** Returns the target of the node at the given address. */
    CallTarget targetAt(String peerAddress) {
        return (call, onResult) -> {
            CompletableFuture<Message> reply = link.request(peerAddress, call);
            reply.whenComplete((message, failure) -> {
                if (!reply.isCancelled()) {
                    onResult.accept(failure == null ? toResult(message) : toFailedResult(failure));
                }
            });
            return () -> {
                if (reply.cancel(false)) {
                    link.request(peerAddress, new ForwardCancel(call.callId())).whenComplete((message, failure) -> {
                        if (failure != null) {
                            log.debug("cancellation not delivered", "peer", peerAddress, "callId", call.callId());
                        }
                    });
                }
            };
        };
    }

    private CallResult toResult(Message message) {
        if (message instanceof ForwardAnswer answer) {
            try {
                CallResult.Outcome outcome = CallResult.Outcome.valueOf(answer.outcome());
                if (outcome == CallResult.Outcome.ANSWERED && !StatusLines.isFinalStatus(answer.status())) {
                    // A node of the previous version passes on what its target sends.
                    log.warning("peer sent an invalid status", "status", answer.status());
                    return CallResult.lost("peer-answer");
                }
                return new CallResult(
                        outcome,
                        answer.reason(),
                        answer.status(),
                        answer.headers(),
                        answer.body(),
                        answer.expectedMillis(),
                        answer.waitMillis(),
                        knownOrUnknown(answer.serviceMillis()),
                        knownOrUnknown(answer.concurrencyLimit()));
            } catch (IllegalArgumentException e) {
                log.warning("peer sent an unknown call outcome", "outcome", answer.outcome());
                return CallResult.lost("peer-answer");
            }
        }
        return CallResult.refused("peer-busy");
    }

    /** Returns -1 for a field that is absent because the peer is of the previous version; it is then read as 0. */
    private static long knownOrUnknown(long value) {
        return value > 0 ? value : -1;
    }

    /**
     * Converts a failed request to a result. A connection that could not be opened or a full queue proves that the call
     * did not leave this node, and a draining peer reports which calls it did not accept.
     */
    private static CallResult toFailedResult(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof PeerException peerFailure) {
            return switch (peerFailure.kind()) {
                case UNREACHABLE, QUEUE_FULL -> CallResult.refused("peer-unreachable");
                case LEAVING -> CallResult.refused(GateRefusal.LEAVING);
                case TIMEOUT -> CallResult.timedOut();
                case DISCONNECTED, REFUSED -> CallResult.lost("peer-disconnected");
            };
        }
        return CallResult.lost("peer-failure");
    }

    private CompletableFuture<Message> accept(ForwardCall call) {
        CompletableFuture<Message> reply = new CompletableFuture<>();
        PendingCall pending = localTarget.send(call, result -> {
            // The id may have been reused by a sender that was restarted; its newer call is still in flight.
            accepted.computeIfPresent(call.callId(), (id, current) -> current.reply == reply ? null : current);
            reply.complete(toForwardAnswer(result));
        });
        if (!reply.isDone()) {
            accepted.put(call.callId(), new AcceptedCall(pending, reply));
        }
        return reply;
    }

    private static ForwardAnswer toForwardAnswer(CallResult result) {
        return new ForwardAnswer(
                result.outcome().name(),
                result.reason(),
                result.status(),
                result.headers(),
                result.body(),
                result.expectedMillis(),
                result.waitMillis(),
                result.serviceMillis(),
                result.concurrencyLimit());
    }

    private CompletableFuture<Message> cancel(ForwardCancel cancel) {
        AcceptedCall call = accepted.remove(cancel.callId());
        if (call != null) {
            call.pending.cancel();
            call.reply.complete(toForwardAnswer(CallResult.lost("cancelled")));
        }
        return CompletableFuture.completedFuture(ACKNOWLEDGEMENT);
    }
}
