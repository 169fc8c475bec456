/**
 * Writing of the usage record at its interval.
 */
package io.jaywick.node.record;
