/**
 * Virtual time, processes and links for benchmarks and scenarios that run core classes without threads.
 */
package io.jaywick.cli.virtual;
