package io.jaywick.core.retry;

/** Result of one attempt of a call. */
public enum AttemptResult {
    /** A complete answer arrived. */
    ANSWERED,
    /** A complete answer arrived in which the target reports overload; it may have executed parts of the call. */
    SHED,
    /** A node refused the call before its target received any byte of it. */
    NOT_RUN,
    /** No connection could be established, so that no byte was sent. */
    NOT_SENT,
    /** The connection was lost after the first byte was sent and before the answer was complete. */
    LOST,
    /** The deadline passed after the first byte was sent. */
    TIMED_OUT;

    /** Returns whether the call was certainly not executed. */
    public boolean provesNotRun() {
        return this == NOT_RUN || this == NOT_SENT;
    }
}
