/**
 * Benchmark of strategies that enforce party limits, under the same faults in virtual time.
 */
package io.jaywick.cli.bench.limits;
