package io.jaywick.core.record;

import io.jaywick.core.JaywickException;

/** A line of the usage record is damaged or not a line of the record. */
public final class RecordLineException extends JaywickException {

    public RecordLineException(String message) {
        super(message);
    }

    public RecordLineException(String message, Throwable cause) {
        super(message, cause);
    }
}
