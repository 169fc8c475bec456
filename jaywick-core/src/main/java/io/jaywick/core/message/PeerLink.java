package io.jaywick.core.message;

import java.util.concurrent.CompletableFuture;

/** Sends messages to peers. */
@FunctionalInterface
public interface PeerLink {

    /**
     * Sends a message to a peer.
     *
     * @param peerAddress HOST:PORT of the peer's listener for frames
     * @return completes with the reply, or fails with a typed error
     */
    CompletableFuture<Message> request(String peerAddress, Message message);
}
