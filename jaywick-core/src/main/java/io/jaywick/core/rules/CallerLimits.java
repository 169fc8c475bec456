package io.jaywick.core.rules;

/** Limits on the size of a caller's requests, on the time it takes to send the headers and on its idle time. */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

    /** Active until the first version of the rules is known; lenient, because no call is served before that. */
    public static final CallerLimits DEFAULTS = new CallerLimits(16_384, 1_048_576, 10_000, 60_000);
}
