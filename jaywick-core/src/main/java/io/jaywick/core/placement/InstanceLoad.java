package io.jaywick.core.placement;

/** What one node knows of the load and the failures of one instance. Not thread-safe. */
final class InstanceLoad {

    /** A report of expected time loses half of its weight in this time, about one service time of a short call. */
    private static final double REPORT_HALF_LIFE_MILLIS = 200;

    /** A report has a thousandth of its weight after ten half-lives. */
    private static final double MAX_REPORT_AGE_MILLIS = 10 * REPORT_HALF_LIFE_MILLIS;

    /** First time that an unreachable instance is left out; it doubles with each further failure. */
    private static final long INITIAL_AVOID_MILLIS = 100;

    /** Longest time that an instance is left out; an instance that returns gets calls within this time. */
    private static final long MAX_AVOID_MILLIS = 1_000;

    private static final double NANOS_PER_MILLI = 1_000_000;

    private int inFlight;
    private double reportedExpectedMillis;
    private double reportedWaitMillis;
    private long reportedNanos;
    private long avoidUntilNanos;
    private int consecutiveFailures;
    private boolean avoided;

    void recordAttemptStart() {
        inFlight++;
    }

    void recordAttemptEnd() {
        inFlight--;
    }

    void recordReport(long expectedMillis, long waitMillis, long nowNanos) {
        reportedExpectedMillis = expectedMillis;
        reportedWaitMillis = waitMillis;
        reportedNanos = nowNanos;
    }

    void recordSuccess() {
        consecutiveFailures = 0;
        avoided = false;
    }

    void recordFailure(long nowNanos) {
        long millis = Math.min(MAX_AVOID_MILLIS, INITIAL_AVOID_MILLIS << Math.min(consecutiveFailures, 10));
        consecutiveFailures++;
        avoid(millis, nowNanos);
    }

    void avoid(long millis, long nowNanos) {
        avoided = true;
        avoidUntilNanos = nowNanos + (long) (millis * NANOS_PER_MILLI);
    }

    boolean isAvoided(long nowNanos) {
        return avoided && nowNanos - avoidUntilNanos < 0;
    }

    /** Milliseconds until a call gets to the target, as reported last, less for an older report. */
    double waitMillis(long nowNanos) {
        return reportedWaitMillis * weight(nowNanos);
    }

    private double weight(long nowNanos) {
        double ageMillis = (nowNanos - reportedNanos) / NANOS_PER_MILLI;
        if (ageMillis > MAX_REPORT_AGE_MILLIS) {
            return 0;
        }
        return Math.pow(0.5, ageMillis / REPORT_HALF_LIFE_MILLIS);
    }

    /** Expected milliseconds until the answer of a call that is sent now; calls of this node count a little each. */
    double score(long nowNanos) {
        return reportedExpectedMillis * weight(nowNanos) + inFlight;
    }
}
