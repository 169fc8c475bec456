package io.jaywick.node.source;

import io.jaywick.core.JaywickException;

/** A call to the configuration service or the instance list failed. */
public final class SourceException extends JaywickException {

    /** Kind of failure. */
    public enum Kind {
        /** No connection could be established, or it was lost before the response was complete. */
        UNREACHABLE,
        /** No complete response arrived within the timeout. */
        TIMEOUT,
        /** The service answered with a status other than 200 or 304. */
        REFUSED,
        /** The response body exceeds the limit. */
        TOO_LARGE,
        /** The response lacks its revision or does not have the agreed form. */
        MALFORMED
    }

    private final Kind kind;

    public SourceException(Kind kind, String message) {
        super(message);
        this.kind = kind;
    }

    public SourceException(Kind kind, String message, Throwable cause) {
        super(message, cause);
        this.kind = kind;
    }

    public Kind kind() {
        return kind;
    }
}
