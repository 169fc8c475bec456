package io.jaywick.core.retry;

/** How one attempt to send a call ended. */
public enum AttemptResult {
    /** A whole answer arrived. */
    ANSWERED,
    /** A whole answer arrived with which the target says that it is overloaded; it may have run parts of the call. */
    SHED,
    /** A node refused the call before its target saw a byte. */
    NOT_RUN,
    /** No connection could be made, so that no byte left. */
    NOT_SENT,
    /** The connection was lost after the first byte left and before the answer was complete. */
    LOST,
    /** The deadline passed after the first byte left. */
    TIMED_OUT;

    /** Tells whether the call certainly did not run. */
    public boolean provesNotRun() {
        return this == NOT_RUN || this == NOT_SENT;
    }
}
