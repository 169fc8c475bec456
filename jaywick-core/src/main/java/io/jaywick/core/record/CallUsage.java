package io.jaywick.core.record;

/**
 * Usage of one ended call as its caller observed it, counted at the egress node.
 *
 * @param party empty when unknown
 * @param service empty when refused before a service was chosen
 * @param route empty when no route matched
 * @param region region that served the call, or the region of this node when this node refused it
 * @param regionBound true when the call has home regions
 * @param homeRegion true when this node is in one of the home regions, so that names may be recorded here
 * @param attempts number of attempts sent to the node of a target, 0 when this node refused the call
 * @param depth 0 for a call that is not nested, otherwise its nesting depth
 * @param outcome outcome reported to the caller
 * @param reason reason of a refusal or an unknown outcome, otherwise empty
 * @param requestBytes body bytes received from the caller, counted once whatever the number of attempts
 * @param responseBytes body bytes sent to the caller
 * @param link regional link that was used, as {@code FROM>TO}, otherwise empty
 * @param linkBytes bytes of all attempts over regional links, in both directions
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
