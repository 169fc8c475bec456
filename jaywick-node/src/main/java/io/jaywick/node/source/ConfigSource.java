package io.jaywick.node.source;

import java.util.concurrent.CompletableFuture;

/** Read access to the configuration service. Futures fail with a {@link SourceException}. */
public interface ConfigSource {

    /** Returns the newest value that the service shows. It may be stale. */
    CompletableFuture<SourceValue> read();

    /**
     * Waits for a value with a higher revision. Completes with null if the service ends the wait without one, which it
     * does after about 30 s. Cancelling the future aborts the request.
     */
    CompletableFuture<SourceValue> watch(long afterRevision);
}
