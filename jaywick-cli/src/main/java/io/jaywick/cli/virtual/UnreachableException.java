package io.jaywick.cli.virtual;

import io.jaywick.core.JaywickException;

/** Failure of a virtual request: the peer is not running, a partition separates the two, or the message is lost. */
public final class UnreachableException extends JaywickException {

    public UnreachableException(String address) {
        super("no connection to " + address);
    }
}
