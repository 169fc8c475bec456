/**
 * Frames between nodes: length, protocol version and one MessagePack envelope.
 */
package io.jaywick.node.frame;
