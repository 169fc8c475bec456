package io.jaywick.core.message;

import java.util.concurrent.CompletableFuture;

/** Handles a message from a peer. The future completes with the reply. */
@FunctionalInterface
public interface MessageHandler {

    CompletableFuture<Message> handle(Message message);
}
