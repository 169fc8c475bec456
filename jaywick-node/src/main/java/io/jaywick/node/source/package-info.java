/**
 * The configuration service and the instance list.
 */
package io.jaywick.node.source;
