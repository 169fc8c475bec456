/**
 * Limits of the parties over all nodes (I13).
 */
package io.jaywick.core.limits;
