package io.jaywick.node.peer;

/**
 * Bounds of one peer link.
 *
 * @param queueMessages frames that may wait for the socket, in each direction
 * @param connectMillis longest connection attempt
 * @param replyMillis longest wait for a reply
 * @param idleMillis time without a frame after which the connection is closed
 */
public record LinkLimits(int queueMessages, int connectMillis, long replyMillis, long idleMillis) {

    /**
     * Values of docs/design.md, section 4. Each of 8 neighbours gets a digest every 11 s, so that an idle time of 15 s
     * keeps these links and soon closes those to random peers.
     */
    public static final LinkLimits DEFAULTS = new LinkLimits(64, 1_000, 5_000, 15_000);
}
