/**
 * The way of a call by host and path: from the caller beside one node, through the node beside the chosen instance, to
 * its target. All classes run on one event loop and hold no locks. Netty's own codecs are used instead of Reactor
 * Netty's HTTP layer, because answers that arrive unasked, under another request's id or without a length have to be
 * told apart here.
 */
package io.jaywick.node.relay;
