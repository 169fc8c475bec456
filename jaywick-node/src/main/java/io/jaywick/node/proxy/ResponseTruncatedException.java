package io.jaywick.node.proxy;

/** An answer ended before it was complete, or its end cannot be told from a lost connection. */
public final class ResponseTruncatedException extends ProxyException {

    ResponseTruncatedException(String message, Throwable cause) {
        super(message, cause);
    }
}
