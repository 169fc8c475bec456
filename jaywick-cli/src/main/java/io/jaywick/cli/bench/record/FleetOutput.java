package io.jaywick.cli.bench.record;

import io.jaywick.core.record.RecorderLimits;
import io.jaywick.core.record.UsageSink;

/**
 * Destinations of the output of a simulated fleet.
 *
 * @param limits limits of the usage recorders
 * @param truth receives the actual usage, for comparison with the collected lines
 * @param lines receives the lines of the usage record
 * @param naiveLines receives the lines of the {@link NaiveRecorder}s
 */
public record FleetOutput(RecorderLimits limits, UsageTruth truth, UsageSink lines, UsageSink naiveLines) {

    private static final long MAX_CLAIM = 10_000;

    /** Returns the recorder limits of a node with the default settings. */
    public static RecorderLimits defaultLimits() {
        return RecorderLimits.forMaxClaim(MAX_CLAIM);
    }

    public FleetOutput(UsageTruth truth, UsageSink lines, UsageSink naiveLines) {
        this(defaultLimits(), truth, lines, naiveLines);
    }
}
