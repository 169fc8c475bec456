package io.jaywick.node.http;

import io.jaywick.core.JaywickException;

/** A request of {@link ExchangeClient} to which no complete response was received. */
public final class ExchangeException extends JaywickException {

    private final Kind kind;

    /** What prevented the response. */
    public enum Kind {
        /** The connection could not be opened, broke, or was closed by this side. */
        DISCONNECTED,
        /** The response did not arrive in time. */
        TIMEOUT,
        /** The received bytes are no HTTP response. */
        MALFORMED,
        /** The response exceeds the bound on its length. */
        TOO_LONG
    }

    ExchangeException(Kind kind, String message, Throwable cause) {
        super(message, cause);
        this.kind = kind;
    }

    public Kind kind() {
        return kind;
    }
}
