/**
 * Links to other nodes and the service that keeps the table current.
 */
package io.jaywick.node.peer;
