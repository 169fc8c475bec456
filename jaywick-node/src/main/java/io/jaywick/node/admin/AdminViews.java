package io.jaywick.node.admin;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Data that the admin port serves. The suppliers are called on an event loop and must not block.
 *
 * @param healthy false if the process should be restarted
 * @param ready false while the node cannot accept calls
 * @param metrics metrics in the Prometheus text format, for example {@code registry::scrape}
 * @param recordLines current lines of the usage record
 */
public record AdminViews(
        BooleanSupplier healthy,
        BooleanSupplier ready,
        Supplier<NodeStatus> status,
        Supplier<CompletableFuture<FleetStatus>> fleet,
        Supplier<String> metrics,
        Supplier<List<String>> recordLines) {}
