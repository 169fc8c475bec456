package io.jaywick.node.relay;

import io.jaywick.core.message.SourceQuery;
import io.jaywick.core.message.SourceState;

/** What this node holds of the source, for its peers. Used on the event loop of the relay. */
public interface SourceStateProvider {

    /** Returns what a peer lacks, or null when it lacks nothing. */
    SourceState newerThan(SourceQuery query);

    /** Whether the source, or a node that is in touch with it, answered the last question. */
    boolean isSourceReachable();
}
