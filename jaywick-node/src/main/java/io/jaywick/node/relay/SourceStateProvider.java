package io.jaywick.node.relay;

import io.jaywick.core.message.SourceQuery;
import io.jaywick.core.message.SourceState;

/** Provides the state of the source that this node holds, to answer its peers. Used on the event loop of the relay. */
public interface SourceStateProvider {

    /** Returns the state that the querying peer lacks, or null when it lacks nothing. */
    SourceState newerThan(SourceQuery query);

    /** Returns the era of the source that this node holds. */
    long era();

    /** Returns the milliseconds since the source last answered this node, or the one that it follows. */
    long ageMillis();

    /** Whether the query shows that the source has returned from a copy since this node read it. */
    boolean isBehind(SourceQuery query);

    /** Whether the last query was answered by the source, or by a node that can reach it. */
    boolean isSourceReachable();

    /**
     * Whether it is known that this node receives the changes of the source or does not. False while it has taken the
     * place of its upstream and the source has not answered yet.
     */
    boolean isSourceConfirmed();
}
