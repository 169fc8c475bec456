package io.jaywick.core.record;

import io.jaywick.core.JaywickException;

/** Thrown when a line of the usage record is damaged or is not in the record format. */
public final class RecordLineException extends JaywickException {

    public RecordLineException(String message) {
        super(message);
    }

    public RecordLineException(String message, Throwable cause) {
        super(message, cause);
    }
}
