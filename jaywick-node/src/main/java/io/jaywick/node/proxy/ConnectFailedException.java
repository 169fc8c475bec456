package io.jaywick.node.proxy;

/** No connection was made, so that no byte of the request left. */
public final class ConnectFailedException extends ProxyException {

    ConnectFailedException(String message, Throwable cause) {
        super(message, cause);
    }
}
