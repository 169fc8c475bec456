package io.jaywick.node.source;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** List of the live and the draining instances of the platform. It may be stale or wrong. */
@FunctionalInterface
public interface InstanceList {

    /** Returns the current list. The future fails with a {@link SourceException}. */
    CompletableFuture<List<InstanceEntry>> list();
}
