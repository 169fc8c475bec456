package io.jaywick.core.distribution;

import java.util.random.RandomGenerator;

/** Exponential backoff with full jitter. Not safe for use by several threads. */
public final class Backoff {

    /** Upper bound of the first wait in milliseconds. */
    public static final long FIRST_MILLIS = 200;

    /** Upper bound of every wait in milliseconds, unless another is given. */
    public static final long MAX_MILLIS = 10_000;

    private final RandomGenerator random;
    private final long maxMillis;
    private int failures;

    public Backoff(RandomGenerator random) {
        this(random, MAX_MILLIS);
    }

    /** Makes a backoff whose waits stay below a bound in milliseconds. */
    public Backoff(RandomGenerator random, long maxMillis) {
        this.random = random;
        this.maxMillis = maxMillis;
    }

    /** Counts one failure and returns how long to wait before the next attempt. */
    public long nextDelayMillis() {
        long bound = Math.min(maxMillis, FIRST_MILLIS << Math.min(failures, 10));
        failures++;
        return random.nextLong(bound + 1);
    }

    /** Starts anew after a success. */
    public void reset() {
        failures = 0;
    }
}
