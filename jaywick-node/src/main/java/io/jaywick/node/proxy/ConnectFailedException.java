package io.jaywick.node.proxy;

/** No connection could be established, so that no byte of the request was sent. */
public final class ConnectFailedException extends ProxyException {

    ConnectFailedException(String message, Throwable cause) {
        super(message, cause);
    }
}
