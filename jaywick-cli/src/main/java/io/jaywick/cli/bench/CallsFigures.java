package io.jaywick.cli.bench;

/**
 * Results of one strategy.
 *
 * @param quietP99Millis 99th percentile of the latency under steady load without faults
 * @param moveP99Millis 99th percentile of the latency while a data centre is taken out of service and put back
 * @param failedIdempotent idempotent calls that failed after the warm-up
 * @param ranTwice non-idempotent requests that ran more than once
 * @param worstColdOverload highest ratio of concurrent calls to capacity at any cold target
 * @param amplification calls that reach targets, per call that would be needed without retries, when the last level
 *     of nested calls always fails
 * @param weightErrorPoints difference between a service's part of the calls and its weight in the table, in percentage
 *     points
 * @param newWorkAfterOutMillis time from the edit that takes the data centre out of service to the last start of a call
 *     in it
 */
record CallsFigures(
        double quietP99Millis,
        double moveP99Millis,
        int failedIdempotent,
        int ranTwice,
        double worstColdOverload,
        double amplification,
        double weightErrorPoints,
        long newWorkAfterOutMillis) {}
