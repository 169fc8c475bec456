package io.jaywick.core.record;

/**
 * What the caller of one call experienced, counted at its egress node.
 *
 * @param party empty when unknown
 * @param service empty when refused before a service was chosen
 * @param route empty when no route matched
 * @param region region that served the call, or that of this node when it was refused here
 * @param regionBound true when the call has home regions
 * @param homeRegion true when this node stands in one of them, so that names may be recorded here
 * @param attempts times that the call was sent to a target's node, 0 when refused here
 * @param depth 0 for a new call, more for a nested one
 * @param outcome what the caller was told
 * @param reason reason of a refusal or an unknown outcome, else empty
 * @param requestBytes body bytes from the caller, counted once
 * @param responseBytes body bytes to the caller
 * @param link regions joined by the link that was used, as {@code FROM>TO}, else empty
 * @param linkBytes bytes of all attempts over regional links, both ways
 */
public record CallUsage(
        String party,
        String service,
        String route,
        String region,
        boolean regionBound,
        boolean homeRegion,
        int attempts,
        int depth,
        CallOutcome outcome,
        String reason,
        long requestBytes,
        long responseBytes,
        String link,
        long linkBytes) {}
