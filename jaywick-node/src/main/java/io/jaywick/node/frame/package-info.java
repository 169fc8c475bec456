/**
 * Frames exchanged between nodes: length, protocol version and a MessagePack envelope.
 */
package io.jaywick.node.frame;
