package io.jaywick.node.frame;

import io.jaywick.core.JaywickException;

/** A frame cannot be decoded. The kind is the one that {@code ErrorReply} carries to the peer. */
public final class FrameException extends JaywickException {

    private final String kind;
    private final long id;
    private final boolean closesConnection;

    FrameException(String kind, long id, boolean closesConnection, String message) {
        super(message);
        this.kind = kind;
        this.id = id;
        this.closesConnection = closesConnection;
    }

    /** Kind of fault, one of {@code unknown-type, too-long, truncated, bad-version, bad-body}. */
    public String kind() {
        return kind;
    }

    /** Id of the faulty request, 0 when it cannot be read. */
    public long id() {
        return id;
    }

    /** True when the connection cannot be used any further. */
    public boolean closesConnection() {
        return closesConnection;
    }
}
