package io.jaywick.node.relay;

import java.util.concurrent.CompletableFuture;

import io.jaywick.core.message.SourceState;
import io.jaywick.core.message.SourceVersion;

/** Access to the published state of the source through other nodes. Used on the event loop of the relay. */
public interface PeerSource {

    /**
     * Queries one peer for state newer than a version. The result is null when there is no peer or the peer holds
     * nothing newer; it fails when the peer does not reply.
     */
    CompletableFuture<SourceState> query(SourceVersion held);

    /**
     * Waits for newer state at the node that this one follows, for a fraction of the maximum propagation time. The
     * result never fails.
     *
     * @param completeEntries whether complete entries are required, because an incremental update could not be applied
     * @param maxWaitMillis a shorter wait, if this node must learn whether the source still answers
     */
    CompletableFuture<FollowResult> follow(SourceVersion held, boolean completeEntries, long maxWaitMillis);

    /** Sends newer state to the nodes that follow this one. */
    void notifyChanged();

    /** Notifies the nodes that follow this one that the source has answered its first query. */
    void notifySourceConfirmed();

    /** Notifies the nodes that follow this one that it cannot reach the source. */
    void notifySourceLost();
}
