package io.jaywick.core.distribution;

import java.util.random.RandomGenerator;

/** Exponential backoff with full jitter. Not safe for use by several threads. */
public final class Backoff {

    /** Upper bound of the first wait in milliseconds. */
    public static final long FIRST_MILLIS = 200;

    /** Upper bound of every wait in milliseconds. */
    public static final long MAX_MILLIS = 10_000;

    private final RandomGenerator random;
    private int failures;

    public Backoff(RandomGenerator random) {
        this.random = random;
    }

    /** Counts one failure and returns how long to wait before the next attempt. */
    public long nextMillis() {
        long bound = Math.min(MAX_MILLIS, FIRST_MILLIS << Math.min(failures, 10));
        failures++;
        return random.nextLong(bound + 1);
    }

    /** Starts anew after a success. */
    public void reset() {
        failures = 0;
    }
}
