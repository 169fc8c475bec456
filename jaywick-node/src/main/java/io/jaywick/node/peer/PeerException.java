package io.jaywick.node.peer;

import io.jaywick.core.JaywickException;

/** Thrown when a request to a peer gets no usable reply. */
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

    public enum Kind {
        /** The connection could not be established, or the peer is in backoff. */
        UNREACHABLE,
        /** The connection was closed before the reply. */
        DISCONNECTED,
        /** The peer has announced that it is draining and does not accept the call. */
        LEAVING,
        /** No reply within the timeout. */
        TIMEOUT,
        /** The outbound queue is full. */
        QUEUE_FULL,
        /** The peer answered with an error. */
        REFUSED
    }
}
