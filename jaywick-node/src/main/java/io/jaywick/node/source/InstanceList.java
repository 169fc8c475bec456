package io.jaywick.node.source;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Reads the platform's list of instances. It lags and may be wrong. */
@FunctionalInterface
public interface InstanceList {

    CompletableFuture<List<InstanceEntry>> list();
}
