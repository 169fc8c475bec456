/**
 * Binds the party limiter to the links and timers of a node.
 */
package io.jaywick.node.limits;
