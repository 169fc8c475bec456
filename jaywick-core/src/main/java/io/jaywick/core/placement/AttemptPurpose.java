package io.jaywick.core.placement;

/** Why an instance is asked to take a call. */
public enum AttemptPurpose {
    /** The instance takes the call only if it expects to answer within the latency objective. */
    TRIAL,
    /** No instance expects to; this one is expected to answer first. */
    LAST_RESORT,
    /** Another instance has the call already, and its answer is late. */
    HEDGE
}
