package io.jaywick.cli;

import io.jaywick.core.JaywickException;

/** Thrown for wrong usage of a command, or for input or output that the command cannot use. The exit status is 2. */
public final class UsageException extends JaywickException {

    public UsageException(String message) {
        super(message);
    }

    public UsageException(String message, Throwable cause) {
        super(message, cause);
    }
}
