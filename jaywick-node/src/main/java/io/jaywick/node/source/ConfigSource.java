package io.jaywick.node.source;

import java.util.concurrent.CompletableFuture;

<<<<<<< HEAD
/** Read access to the configuration service. Futures fail with a {@link SourceException}. */
public interface ConfigSource {

    /** Returns the newest value that the service shows. It may be stale. */
    CompletableFuture<SourceValue> read();

    /**
     * Waits for a value with a higher revision. Completes with null when the service ends the wait without one, which
     * it does after about 30 s. Cancelling the future ends the call.
     */
=======
/** Reads the configuration service. Every call counts against its budget. */
public interface ConfigSource {

    /** Reads the newest value. */
    CompletableFuture<SourceValue> read();

    /** Waits for a value with a larger revision; completes with null when none was published while it waited. */
>>>>>>> distribution
    CompletableFuture<SourceValue> watch(long afterRevision);
}
