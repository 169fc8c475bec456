package io.jaywick.core.membership;

/** State of a member in one node's view. */
public enum MemberState {
    /** The last contact, direct or reported by a peer, is not older than the suspect timeout. */
    ALIVE,
    /** A contact failed, or the last one is older than the suspect timeout. */
    SUSPECT,
    /** Reported as draining. */
    LEAVING
}
