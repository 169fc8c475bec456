package io.jaywick.cli.bench.record;

import io.jaywick.core.record.RecorderLimits;
import io.jaywick.core.record.UsageSink;

/**
 * Where a simulated fleet tells what happened.
 *
 * @param limits limits of the recorders
 * @param truth what really happened
 * @param lines takes the lines of the record
 * @param naiveLines takes the lines of the plain counters
 */
public record FleetOutput(RecorderLimits limits, UsageTruth truth, UsageSink lines, UsageSink naiveLines) {

    private static final long MAX_CLAIM = 10_000;

    /** Limits of a node with the default settings. */
    public static RecorderLimits defaultLimits() {
        return RecorderLimits.forMaxClaim(MAX_CLAIM);
    }

    public FleetOutput(UsageTruth truth, UsageSink lines, UsageSink naiveLines) {
        this(defaultLimits(), truth, lines, naiveLines);
    }
}
