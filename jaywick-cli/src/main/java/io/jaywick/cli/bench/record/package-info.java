/**
 * Simulated fleets and measurements of the usage record.
 */
package io.jaywick.cli.bench.record;
