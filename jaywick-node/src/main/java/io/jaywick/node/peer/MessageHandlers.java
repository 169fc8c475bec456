package io.jaywick.node.peer;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import io.jaywick.core.message.ErrorReply;
import io.jaywick.core.message.Message;
import io.jaywick.core.message.MessageHandler;

/** Registry of the message handlers of a node, one per message class. */
public final class MessageHandlers implements MessageHandler {

    private final Map<Class<? extends Message>, MessageHandler> handlers = new ConcurrentHashMap<>();

    /** Sets the handler of a message class; a later registration replaces an earlier one. */
    public void register(Class<? extends Message> type, MessageHandler handler) {
        handlers.put(type, handler);
    }

    /** Passes a message to its handler. Replies with {@code ErrorReply} if there is no handler or the handler fails. */
    @Override
    public CompletableFuture<Message> handle(Message message) {
        MessageHandler handler = handlers.get(message.getClass());
        if (handler == null) {
            return CompletableFuture.completedFuture(new ErrorReply(
                    "refused", "no handler for " + message.getClass().getSimpleName()));
        }
        try {
            return handler.handle(message).exceptionally(MessageHandlers::errorReply);
        } catch (RuntimeException e) {
            return CompletableFuture.completedFuture(errorReply(e));
        }
    }

    private static Message errorReply(Throwable failure) {
        return new ErrorReply("refused", String.valueOf(failure.getMessage()));
    }
}
