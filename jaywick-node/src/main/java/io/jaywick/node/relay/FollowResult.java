package io.jaywick.node.relay;

import io.jaywick.core.message.SourceState;

/**
 * What came of following another node.
 *
 * @param host the node that answered, or null when this node must follow the source itself
 * @param update null when there is none
 */
public record FollowResult(String host, SourceState update) {

    static final FollowResult NO_UPSTREAM = new FollowResult(null, null);
}
