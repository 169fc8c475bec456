/**
 * Bench of the party limits: strategies under the same faults on virtual time.
 */
package io.jaywick.cli.bench.limits;
