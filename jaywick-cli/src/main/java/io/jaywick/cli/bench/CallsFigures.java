package io.jaywick.cli.bench;

/**
 * Figures of one strategy.
 *
 * @param worstColdOverload largest ratio of the calls that a cold target ran at once to what it could run
 * @param amplification calls made for each call asked when every leaf fails
 * @param weightErrorPoints largest difference of a share from the table in percentage points
 * @param newWorkAfterOutMillis last start of a call in the data centre after operators took it out
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
