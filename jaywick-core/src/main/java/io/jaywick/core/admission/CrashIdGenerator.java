package io.jaywick.core.admission;

/**
 * Names the losses of one target. All calls that were in flight at one loss share its name; a call that was dispatched
 * after a loss and is lost as well tells of a new one. Thread-safe.
 */
public final class CrashIdGenerator {

    private final String prefix;
    private long crashCount;
    private long lastCrashNanos;

    /** The prefix is unique for the process, for example server name and incarnation. */
    public CrashIdGenerator(String prefix) {
        this.prefix = prefix;
    }

    /** Returns the name of the loss that ended a call dispatched at the given monotonic time. */
    public synchronized String crashId(long dispatchedNanos, long now) {
        if (crashCount == 0 || dispatchedNanos - lastCrashNanos > 0) {
            crashCount++;
            lastCrashNanos = now;
        }
        return prefix + "-" + crashCount;
    }
}
