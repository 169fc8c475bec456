package io.jaywick.node.source;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The platform's list of live and leaving instances. It lags and may be wrong. */
@FunctionalInterface
public interface InstanceList {

    /** Returns the current list. The future fails with a {@link SourceException}. */
    CompletableFuture<List<InstanceEntry>> list();
}
