package io.jaywick.node.proxy;

/** The connection was lost after the first byte of the request may have been sent and before a response began. */
public final class ConnectionLostException extends ProxyException {

    ConnectionLostException(String message, Throwable cause) {
        super(message, cause);
    }
}
