/**
 * Relays calls by host and path: from the local caller of one node, through the node of the chosen instance, to its
 * target. All classes run on one event loop and use no locks. Netty's own codecs are used instead of Reactor Netty's
 * HTTP layer, because responses that are unsolicited, carry the id of another request or have no length must be
 * distinguished here.
 */
package io.jaywick.node.relay;
