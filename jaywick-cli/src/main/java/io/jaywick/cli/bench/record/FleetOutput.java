package io.jaywick.cli.bench.record;

import io.jaywick.core.record.UsageSink;

/**
 * Where a simulated fleet tells what happened.
 *
 * @param truth what really happened
 * @param lines takes the lines of the record
 * @param naiveLines takes the lines of the plain counters
 */
public record FleetOutput(UsageTruth truth, UsageSink lines, UsageSink naiveLines) {}
