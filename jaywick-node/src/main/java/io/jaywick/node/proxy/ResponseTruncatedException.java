package io.jaywick.node.proxy;

/** A response ended before it was complete, or its end cannot be distinguished from a lost connection. */
public final class ResponseTruncatedException extends ProxyException {

    ResponseTruncatedException(String message, Throwable cause) {
        super(message, cause);
    }
}
