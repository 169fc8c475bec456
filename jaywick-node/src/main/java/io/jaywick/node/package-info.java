/**
 * Entry point of a node and assembly of its parts.
 */
package io.jaywick.node;
