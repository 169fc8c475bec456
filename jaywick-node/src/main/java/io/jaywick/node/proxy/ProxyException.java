package io.jaywick.node.proxy;

import io.jaywick.core.JaywickException;

/** Base class of the failures of the HTTP proxy. */
public abstract class ProxyException extends JaywickException {

    protected ProxyException(String message) {
        super(message);
    }

    protected ProxyException(String message, Throwable cause) {
        super(message, cause);
    }
}
