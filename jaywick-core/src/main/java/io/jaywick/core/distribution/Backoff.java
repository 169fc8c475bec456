package io.jaywick.core.distribution;

import java.util.random.RandomGenerator;

/** Exponential backoff with full jitter. Not thread-safe. */
public final class Backoff {

    /** Upper bound of the first delay in milliseconds. */
    public static final long FIRST_MILLIS = 200;

    /** Default upper bound of every delay in milliseconds. */
    public static final long MAX_MILLIS = 10_000;

    private final RandomGenerator random;
    private final long maxMillis;
    private int failures;

    public Backoff(RandomGenerator random) {
        this(random, MAX_MILLIS);
    }

    /** Creates a backoff with the given inclusive upper bound of every delay in milliseconds. */
    public Backoff(RandomGenerator random, long maxMillis) {
        this.random = random;
        this.maxMillis = maxMillis;
    }

    /** Records a failure and returns the random delay before the next attempt in milliseconds. */
    public long nextDelayMillis() {
        long bound = Math.min(maxMillis, FIRST_MILLIS << Math.min(failures, 10));
        failures++;
        return random.nextLong(bound + 1);
    }

    /** Resets the failure count after a success. */
    public void reset() {
        failures = 0;
    }
}
