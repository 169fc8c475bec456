package io.jaywick.node.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.jaywick.core.message.Busy;
import io.jaywick.core.message.Message;
import io.jaywick.core.message.SourceQuery;
import io.jaywick.core.message.SourceState;
import io.jaywick.core.message.UpToDate;

/**
 * Handles the queries of the nodes that follow this one. A query is answered when newer state is available, at the end
 * of its wait, or at once when this node cannot reach the source, is behind the follower or is draining, so that the
 * follower chooses another node. While it is not known whether this node can reach the source, a query waits on: an answer without newer state
 * would keep the follower at a node that receives no changes.
 */
final class SourceQueryHandler {

    /** Memory bound; a node has a few tens of followers at most. */
    private static final int MAX_WAITING = 1_024;

    /** Longer waits are shortened to this time. */
    private static final long MAX_WAIT_MILLIS = 10_000;

    /** Time after which a rejected follower may query this node again. */
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final SourceStateProvider provider;
    private final TaskScheduler scheduler;
    private final List<PendingQuery> waiting = new ArrayList<>();
    private boolean draining;

    private static final class PendingQuery {
        private final SourceQuery query;
        private final CompletableFuture<Message> reply = new CompletableFuture<>();
        private Runnable cancelTimer;
        private boolean waitEnded;

        PendingQuery(SourceQuery query) {
            this.query = query;
        }
    }

    SourceQueryHandler(SourceStateProvider provider, TaskScheduler scheduler) {
        this.provider = provider;
        this.scheduler = scheduler;
    }

    CompletableFuture<Message> handle(SourceQuery query) {
        SourceState newer = provider.newerThan(query);
        if (newer != null) {
            return CompletableFuture.completedFuture(newer);
        }
        if (query.waitMillis() <= 0) {
            return CompletableFuture.completedFuture(noUpdate());
        }
        boolean canWait = !draining && provider.isSourceReachable() && !provider.isBehind(query);
        if (!canWait || waiting.size() >= MAX_WAITING) {
            return CompletableFuture.completedFuture(new Busy(RETRY_AFTER_MILLIS));
        }
        PendingQuery pending = new PendingQuery(query);
        waiting.add(pending);
        pending.cancelTimer = scheduler.schedule(() -> endWait(pending), Math.min(query.waitMillis(), MAX_WAIT_MILLIS));
        return pending.reply;
    }

    private void endWait(PendingQuery pending) {
        pending.waitEnded = true;
        if (provider.isSourceConfirmed()) {
            reply(pending, noUpdate());
        }
    }

    private UpToDate noUpdate() {
        return new UpToDate(0, "", provider.era(), provider.ageMillis());
    }

    private void reply(PendingQuery pending, Message answer) {
        if (waiting.remove(pending)) {
            pending.cancelTimer.run();
            pending.reply.complete(answer);
        }
    }

    /** Answers the waiting queries for which newer state is now available. */
    void notifyChanged() {
        for (PendingQuery pending : List.copyOf(waiting)) {
            SourceState newer = provider.newerThan(pending.query);
            if (newer != null) {
                reply(pending, newer);
            }
        }
    }

    /** Answers the queries whose wait has ended while it was not known whether this node can reach the source. */
    void notifySourceConfirmed() {
        for (PendingQuery pending : List.copyOf(waiting)) {
            if (pending.waitEnded) {
                reply(pending, noUpdate());
            }
        }
    }

    /** Rejects the waiting queries because this node cannot reach the source. */
    void notifySourceLost() {
        for (PendingQuery pending : List.copyOf(waiting)) {
            reply(pending, new Busy(RETRY_AFTER_MILLIS));
        }
    }

    /** Rejects waiting and further followers because this node is draining. */
    void drain() {
        draining = true;
        notifySourceLost();
    }
}
