package io.jaywick.core.rules;

/** Bounds on what a caller may send, and on how long it may take or stay idle. */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

    /** In force until the first version of the rules is known; lenient, because nothing is served before that. */
    public static final CallerLimits DEFAULTS = new CallerLimits(16_384, 1_048_576, 10_000, 60_000);
}
