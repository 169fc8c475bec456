package io.jaywick.node.peer;

import io.jaywick.core.JaywickException;

/** A request to a peer got no usable reply. */
public final class PeerException extends JaywickException {

    private final Kind kind;

    public PeerException(Kind kind, String message) {
        super(message);
        this.kind = kind;
    }

    public PeerException(Kind kind, String message, Throwable cause) {
        super(message, cause);
        this.kind = kind;
    }

    public Kind kind() {
        return kind;
    }

    /** Kinds of failure. */
    public enum Kind {
        /** No connection, or the peer is in its backoff time. */
        UNREACHABLE,
        /** The connection ended before the reply. */
        DISCONNECTED,
        /** The peer leaves and has said that it does not take the call. */
        LEAVING,
        /** No reply within the time allowed. */
        TIMEOUT,
        /** The outbound queue is full. */
        QUEUE_FULL,
        /** The peer answered with an error. */
        REFUSED
    }
}
