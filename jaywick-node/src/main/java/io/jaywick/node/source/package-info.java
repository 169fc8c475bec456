/** Clients of the configuration service and the instance list. */
package io.jaywick.node.source;
