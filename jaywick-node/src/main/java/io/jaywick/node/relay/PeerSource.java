package io.jaywick.node.relay;

import java.util.concurrent.CompletableFuture;

import io.jaywick.core.message.SourceState;

/** Knows what the source published, from other nodes. Used on the event loop of the relay. */
public interface PeerSource {

    /** Asks one peer; the result is null when it knows nothing newer, and fails when there is none or it is silent. */
    CompletableFuture<SourceState> query(long revision);

    /**
     * Waits for news at the node that this one follows, for a part of the bound within which changes must be in force.
     * Never fails.
     *
     * @param whole whether entries must come whole, because a difference did not fit
     */
    CompletableFuture<FollowResult> follow(long revision, boolean whole);

    /** Tells the nodes that follow this one that there is news. */
    void notifyChanged();

    /** Tells the nodes that follow this one that it is not in touch with the source. */
    void notifySourceLost();
}
