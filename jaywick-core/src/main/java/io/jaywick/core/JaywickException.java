package io.jaywick.core;

/** Base class of all failures that jaywick reports. Callers distinguish them by type; the message is for people. */
public abstract class JaywickException extends RuntimeException {

    protected JaywickException(String message) {
        super(message);
    }

    protected JaywickException(String message, Throwable cause) {
        super(message, cause);
    }
}
