package io.jaywick.core.capacity;

/**
 * Result of one comparison of two concurrency limits.
 *
 * @param weight the variance of the inflation is that of one call divided by this
 * @param inflation difference of the logarithms of the service times, higher limit against lower one
 * @param concurrencyGain difference of the logarithms of the calls that ran concurrently
 * @param squaredDeviations sum within the two groups of calls
 * @param degreesOfFreedom of that sum
 */
record TrialResult(
        long nanos,
        double weight,
        double inflation,
        double concurrencyGain,
        double squaredDeviations,
        int degreesOfFreedom) {}
