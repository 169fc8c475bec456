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

    /** Values of docs/design.md, section 4. */
    public static final LinkLimits DEFAULTS = new LinkLimits(64, 1_000, 5_000, 30_000);
}
