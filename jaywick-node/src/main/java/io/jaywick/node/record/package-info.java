/**
 * Periodic writing of the usage record.
 */
package io.jaywick.node.record;
