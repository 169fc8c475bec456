package io.jaywick.core.message;

import java.util.concurrent.CompletableFuture;

/** Sends a message to a peer and completes with the reply, or fails with a typed error. */
@FunctionalInterface
public interface PeerLink {

    /**
     * Sends a message.
     *
     * @param peerAddress HOST:PORT of the peer's frame listener
     */
    CompletableFuture<Message> request(String peerAddress, Message message);
}
