package io.jaywick.node.relay;

import java.util.concurrent.CompletableFuture;

import io.jaywick.core.message.SourceState;

/** Knows what the source published, from other nodes. */
@FunctionalInterface
public interface PeerSource {

    /** Asks one peer; the result is null when it knows nothing newer, and fails when there is none or it is silent. */
    CompletableFuture<SourceState> ask(long revision);
}
