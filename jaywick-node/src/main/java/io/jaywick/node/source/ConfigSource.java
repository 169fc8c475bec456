package io.jaywick.node.source;

import java.util.concurrent.CompletableFuture;

/** Reads the configuration service. Every call counts against its budget. */
public interface ConfigSource {

    /** Reads the newest value. */
    CompletableFuture<SourceValue> read();

    /** Waits for a value with a larger revision; completes with null when none was published while it waited. */
    CompletableFuture<SourceValue> watch(long afterRevision);
}
