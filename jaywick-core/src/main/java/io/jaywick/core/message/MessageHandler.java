package io.jaywick.core.message;

import java.util.concurrent.CompletableFuture;

/** Answers a message from a peer. */
@FunctionalInterface
public interface MessageHandler {

    CompletableFuture<Message> handle(Message message);
}
