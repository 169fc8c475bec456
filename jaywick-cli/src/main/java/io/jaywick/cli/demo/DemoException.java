package io.jaywick.cli.demo;

import io.jaywick.core.JaywickException;

/** Thrown when the fleet of the demonstration does not reach a state that the script requires. */
final class DemoException extends JaywickException {

    private static final long serialVersionUID = 1L;

    DemoException(String message) {
        super(message);
    }
}
