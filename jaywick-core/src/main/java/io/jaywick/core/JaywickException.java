package io.jaywick.core;

/** Root of every failure that jaywick reports. Callers match on the subtype; the message is for people. */
public abstract class JaywickException extends RuntimeException {

    protected JaywickException(String message) {
        super(message);
    }

    protected JaywickException(String message, Throwable cause) {
        super(message, cause);
    }
}
