/**
 * Selects the instances that a call is attempted at, by distance, reported load and failures that the node observed.
 */
package io.jaywick.core.placement;
