package io.jaywick.node.source;

import java.util.List;
import java.util.concurrent.CompletableFuture;

<<<<<<< HEAD
/** The platform's list of live and leaving instances. It lags and may be wrong. */
@FunctionalInterface
public interface InstanceList {

    /** Returns the current list. The future fails with a {@link SourceException}. */
=======
/** Reads the platform's list of instances. It lags and may be wrong. */
@FunctionalInterface
public interface InstanceList {

>>>>>>> distribution
    CompletableFuture<List<InstanceEntry>> list();
}
