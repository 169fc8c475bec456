package io.jaywick.core.membership;

/** State of a member in one node's view. */
public enum MemberState {
    /** Reported within the suspect timeout by itself, by a peer or by the instance list. */
    ALIVE,
    /** A contact failed, or the last one is older than the suspect timeout. */
    SUSPECT,
    /** Reported as draining. */
    LEAVING
}
