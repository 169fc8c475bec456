package io.jaywick.core.snapshot;

import io.jaywick.core.JaywickException;

/** Thrown when a snapshot is built from content that the verdict does not accept. */
public final class SnapshotException extends JaywickException {

    public SnapshotException(String message) {
        super(message);
    }

    public SnapshotException(String message, Throwable cause) {
        super(message, cause);
    }
}
