package io.jaywick.node.proxy;

/** An answer ended before it was complete, or its end cannot be told from a lost connection. */
public final class AnswerCutException extends ProxyException {

    AnswerCutException(String message, Throwable cause) {
        super(message, cause);
    }
}
