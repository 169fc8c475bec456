/**
 * Connects the party limiter to the peer links and timers of a node.
 */
package io.jaywick.node.limits;
