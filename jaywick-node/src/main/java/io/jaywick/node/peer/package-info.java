/**
 * Connections to other nodes, cluster membership and the distribution of configuration versions between nodes.
 */
package io.jaywick.node.peer;
