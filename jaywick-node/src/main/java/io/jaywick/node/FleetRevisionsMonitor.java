package io.jaywick.node;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.jaywick.core.distribution.FleetStatus;
import io.jaywick.core.limits.FleetRevisions;

/**
 * Reports the active revisions of the fleet to the limiter. Each query of the limiter starts a fetch of the fleet
 * status unless one is in progress, and uses the status fetched last. A status older than {@value #MAX_AGE_MILLIS} ms
 * counts as unknown.
 */
final class FleetRevisionsMonitor implements FleetRevisions {

    static final long MAX_AGE_MILLIS = 5_000;

    private final Supplier<CompletableFuture<FleetStatus>> statusSupplier;
    private final LongSupplier nanoTime;
    private FleetStatus latest;
    private long latestRequestNanos;
    private boolean isFetching;

    FleetRevisionsMonitor(Supplier<CompletableFuture<FleetStatus>> fleet, LongSupplier nanoTime) {
        this.statusSupplier = fleet;
        this.nanoTime = nanoTime;
    }

    @Override
    public boolean allWithin(long oldestRevision, long newestRevision) {
        fetch();
        synchronized (this) {
            return latest != null
                    && nanoTime.getAsLong() - latestRequestNanos <= TimeUnit.MILLISECONDS.toNanos(MAX_AGE_MILLIS)
                    && latest.smallestActiveRevision().isPresent()
                    && latest.smallestActiveRevision().getAsLong() >= oldestRevision
                    && latest.revision() <= newestRevision;
        }
    }

    private void fetch() {
        synchronized (this) {
            if (isFetching) {
                return;
            }
            isFetching = true;
        }
        long requestNanos = nanoTime.getAsLong();
        statusSupplier.get().whenComplete((status, failure) -> {
            synchronized (this) {
                isFetching = false;
                if (failure == null) {
                    latest = status;
                    latestRequestNanos = requestNanos;
                }
            }
        });
    }
}
