/**
 * Virtual time, processes and network for benchmarks and scenarios, which run classes of the core and the node without
 * threads.
 */
package io.jaywick.cli.virtual;
