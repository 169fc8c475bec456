package io.jaywick.core.distribution;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * A clock that counts only time during which the source is known to have answered. It advances with each answer, by the
 * time since the previous one. The time before an answer that was long overdue, or that follows a failure, is not
 * counted. Not thread-safe.
 */
public final class AnsweredTime {

    private final LongSupplier nanoTime;
    private final long maxIntervalNanos;
    private boolean hasAnswer;
    private boolean isInterrupted;
    private long newestAnswerNanos;
    private long countedNanos;

    /**
     * Creates a clock for a source that has not answered yet.
     *
     * @param nanoTime monotonic clock in nanoseconds
     * @param maxIntervalMillis longest time between two answers during which the source counts as available
     */
    public AnsweredTime(LongSupplier nanoTime, long maxIntervalMillis) {
        this.nanoTime = nanoTime;
        this.maxIntervalNanos = TimeUnit.MILLISECONDS.toNanos(maxIntervalMillis);
    }

    /**
     * Records an answer of the source; one that is older than a recorded one is ignored.
     *
     * @param ageMillis time since the answer
     * @return false if the source may have been unavailable between the previous answer and this one
     */
    public boolean record(long ageMillis) {
        long answerNanos = nanoTime.getAsLong() - TimeUnit.MILLISECONDS.toNanos(ageMillis);
        long intervalNanos = hasAnswer ? answerNanos - newestAnswerNanos : 0;
        if (hasAnswer && intervalNanos <= 0) {
            return true;
        }
        hasAnswer = true;
        newestAnswerNanos = answerNanos;
        if (isInterrupted || intervalNanos > maxIntervalNanos) {
            isInterrupted = false;
            return false;
        }
        countedNanos += intervalNanos;
        return true;
    }

    /** Records that the source has failed to answer; the time until its next answer is not counted. */
    public void interrupt() {
        isInterrupted = true;
    }

    public boolean hasAnswer() {
        return hasAnswer;
    }

    /** Returns the milliseconds since the newest answer. */
    public long ageMillis() {
        return hasAnswer ? TimeUnit.NANOSECONDS.toMillis(nanoTime.getAsLong() - newestAnswerNanos) : Long.MAX_VALUE;
    }

    /** Returns the counted time up to the newest answer. */
    public long nanos() {
        return countedNanos;
    }
}
