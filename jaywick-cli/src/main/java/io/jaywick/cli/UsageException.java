package io.jaywick.cli;

import io.jaywick.core.JaywickException;

/** The command line is wrong or names input that cannot be read. The program ends with status 2. */
public final class UsageException extends JaywickException {

    public UsageException(String message) {
        super(message);
    }

    public UsageException(String message, Throwable cause) {
        super(message, cause);
    }
}
