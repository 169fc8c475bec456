package io.jaywick.cli.demo;

import io.jaywick.core.JaywickException;

/** The fleet of the demonstration did not reach a state that the script needs. */
final class DemoException extends JaywickException {

    private static final long serialVersionUID = 1L;

    DemoException(String message) {
        super(message);
    }
}
