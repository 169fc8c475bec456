package io.jaywick.node.peer;

import io.jaywick.core.distribution.Backoff;

/**
 * Bounds of one peer link.
 *
 * @param maxQueuedMessages frames that may wait for the socket, in each direction
 * @param connectTimeoutMillis longest connection attempt
 * @param replyTimeoutMillis longest wait for a reply
 * @param idleTimeoutMillis time without a frame after which the connection is closed
 * @param pingIntervalMillis time without a frame after which a connection with requests in flight is asked for a sign of life;
 *     three such times without a frame close it; 0 for never
 * @param maxBackoffMillis longest time for which an unreachable peer is not tried again
 */
public record LinkLimits(
        int maxQueuedMessages,
        int connectTimeoutMillis,
        long replyTimeoutMillis,
        long idleTimeoutMillis,
        long pingIntervalMillis,
        long maxBackoffMillis) {

    /**
     * Values of docs/design.md, section 4. Each of 8 neighbours gets a digest every 11 s, so that an idle time of 15 s
     * keeps these links and soon closes those to random peers.
     */
    public static final LinkLimits DEFAULTS = new LinkLimits(64, 1_000, 5_000, 15_000);

    /** Limits without pings and with the usual backoff. */
    public LinkLimits(int queueMessages, int connectMillis, long replyMillis, long idleMillis) {
        this(queueMessages, connectMillis, replyMillis, idleMillis, 0, Backoff.MAX_MILLIS);
    }
}
