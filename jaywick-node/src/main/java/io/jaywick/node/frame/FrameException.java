package io.jaywick.node.frame;

import io.jaywick.core.JaywickException;

/** A frame cannot be encoded or decoded. The kind is sent to the peer in an {@code ErrorReply}. */
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

    /** Returns the kind of fault, one of {@code unknown-type, too-long, truncated, bad-version, bad-body}. */
    public String kind() {
        return kind;
    }

    /** Returns the ID of the faulty frame, 0 if it could not be read. */
    public long id() {
        return id;
    }

    /** Returns whether the connection can no longer be used. */
    public boolean closesConnection() {
        return closesConnection;
    }
}
