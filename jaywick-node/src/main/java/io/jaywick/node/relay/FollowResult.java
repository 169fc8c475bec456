package io.jaywick.node.relay;

import io.jaywick.core.message.SourceState;

/**
 * Result of one query to the node that this node follows.
 *
 * @param host host of the node that replied, or null when this node must query the source itself
 * @param update newer state of the source, or null when there is none
 * @param ageMillis time since the source last answered that node, or the one that it follows
 */
public record FollowResult(String host, SourceState update, long ageMillis) {

    /** This node must query the source itself. */
    public static final FollowResult NO_UPSTREAM = new FollowResult(null, null, 0);
}
