package io.jaywick.core.admission;

/**
 * Generates the identifiers of the crashes of one target. Calls that were in flight at the same crash get the same
 * identifier; a lost call that was dispatched after the last crash gets a new one. Thread-safe.
 */
public final class CrashIdGenerator {

    private final String prefix;
    private long crashCount;
    private long lastCrashNanos;

    /** The prefix must be unique to the process, for example server name and incarnation. */
    public CrashIdGenerator(String prefix) {
        this.prefix = prefix;
    }

    /**
     * Returns the identifier of the crash that ended a call, given the monotonic time at which the call was dispatched.
     */
    public synchronized String crashId(long dispatchedNanos, long nowNanos) {
        if (crashCount == 0 || dispatchedNanos - lastCrashNanos > 0) {
            crashCount++;
            lastCrashNanos = nowNanos;
        }
        return prefix + "-" + crashCount;
    }
}
