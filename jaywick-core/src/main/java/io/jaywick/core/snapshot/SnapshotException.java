package io.jaywick.core.snapshot;

import io.jaywick.core.JaywickException;

/** Content that no verdict accepted was used to build a snapshot. */
public final class SnapshotException extends JaywickException {

    public SnapshotException(String message) {
        super(message);
    }

    public SnapshotException(String message, Throwable cause) {
        super(message, cause);
    }
}
