package io.jaywick.node.relay;

import io.jaywick.core.message.SourceState;

/**
 * What came of following another node.
 *
 * @param host the node that answered, or null when this node must follow the source itself
 * @param news null when there is none
 */
public record Followed(String host, SourceState news) {

    static final Followed NONE = new Followed(null, null);
}
