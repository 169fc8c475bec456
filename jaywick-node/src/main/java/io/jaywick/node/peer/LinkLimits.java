package io.jaywick.node.peer;

import io.jaywick.core.distribution.Backoff;

/**
 * Queue bound and timeouts of a peer link. Times are in milliseconds.
 *
 * @param maxQueuedMessages maximum number of requests in flight and of frames queued for the socket, for each direction
 *     of a connection
 * @param connectTimeoutMillis timeout of a connection attempt
 * @param replyTimeoutMillis timeout of a request
 * @param idleTimeoutMillis time without received data after which the connection is closed
 * @param pingIntervalMillis interval of the checks for received frames while requests are in flight: the second and the
 *     third successive check without a frame send a ping, the fourth closes the connection; 0 for no checks
 * @param maxBackoffMillis maximum backoff after a failed connection attempt
 */
public record LinkLimits(
        int maxQueuedMessages,
        int connectTimeoutMillis,
        long replyTimeoutMillis,
        long idleTimeoutMillis,
        long pingIntervalMillis,
        long maxBackoffMillis) {

    /**
     * Limits of docs/design.md, section 4. Each of 8 neighbours receives a digest every 11 s, so an idle timeout of
     * 15 s keeps these connections open and soon closes those to random peers.
     */
    public static final LinkLimits DEFAULTS = new LinkLimits(64, 1_000, 5_000, 15_000);

    /** Creates limits without pings and with the default maximum backoff. */
    public LinkLimits(
            int maxQueuedMessages, int connectTimeoutMillis, long replyTimeoutMillis, long idleTimeoutMillis) {
        this(maxQueuedMessages, connectTimeoutMillis, replyTimeoutMillis, idleTimeoutMillis, 0, Backoff.MAX_MILLIS);
    }
}
