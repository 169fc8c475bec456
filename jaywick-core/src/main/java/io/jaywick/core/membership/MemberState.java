package io.jaywick.core.membership;

/** State of a member as one node sees it. */
public enum MemberState {
    /** Heard of within the liveness period. */
    ALIVE,
    /** A connect failed or nothing was heard for the liveness period. */
    SUSPECT,
    /** Said that it drains. */
    LEAVING
}
