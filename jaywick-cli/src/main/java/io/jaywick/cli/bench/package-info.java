/**
 * Benchmarks that compare strategies for calls and for the distribution of tables.
 */
package io.jaywick.cli.bench;
