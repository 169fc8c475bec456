/** Decides which instance a call is offered to, from distance, load reports and failures that the node saw itself. */
package io.jaywick.core.placement;
