/**
 * Benchmarks of the operators' command line.
 */
package io.jaywick.cli.bench;
