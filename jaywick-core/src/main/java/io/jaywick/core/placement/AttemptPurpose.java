package io.jaywick.core.placement;

/** Purpose of one attempt of a call. */
public enum AttemptPurpose {
    /** Trial attempt: the instance accepts the call only if it expects to answer within the latency objective. */
    TRIAL,
    /** No instance is expected to answer within the latency objective; this one is expected to answer first. */
    LAST_RESORT,
    /** Another instance already has the call, and its answer is late. */
    HEDGE
}
