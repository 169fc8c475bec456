package io.jaywick.cli.virtual;

import io.jaywick.core.JaywickException;

/** A virtual connection could not be made. */
public final class UnreachableException extends JaywickException {

    public UnreachableException(String address) {
        super("no connection to " + address);
    }
}
