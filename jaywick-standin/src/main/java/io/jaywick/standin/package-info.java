/**
 * Stand-ins of the systems outside the node, for tests, demos and benchmarks.
 */
package io.jaywick.standin;
