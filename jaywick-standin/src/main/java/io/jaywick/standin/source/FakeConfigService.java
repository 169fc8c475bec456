package io.jaywick.standin.source;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.jaywick.core.table.TableLimits;
import io.jaywick.node.source.ConfigSource;
import io.jaywick.node.source.SourceException;
import io.jaywick.node.source.SourceValue;
import reactor.core.scheduler.Scheduler;

/**
 * Configuration service in memory, with faults that can be switched on and off. It counts every call; a watch counts
 * once, however long it waits. Watches time out on the scheduler's clock. Thread-safe.
 */
public final class FakeConfigService implements ConfigSource {

    private static final Duration MAX_WATCH_WAIT = Duration.ofSeconds(30);
    /** Number of revisions, the highest, that are kept for {@link #restore}. */
    private static final int MAX_HISTORY_ENTRIES = 64;

    private final Scheduler scheduler;
    private final TreeMap<Long, byte[]> history = new TreeMap<>();
    private final List<PendingWatch> pendingWatches = new ArrayList<>();
    /** Replaced values that are still to be delivered out of order. */
    private final Queue<SourceValue> delayed = new ArrayDeque<>();

    private SourceValue newest;
    private SourceValue visible;
    private boolean unavailable;
    private boolean stale;
    private boolean reordering;
    private long callCount;

    public FakeConfigService(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    private record PendingWatch(long after, CompletableFuture<SourceValue> future) {}

    /** Publishes a value under the next revision and returns the revision. */
    public synchronized long publish(byte[] content) {
        long revision = newest == null ? 1 : Math.max(newest.revision(), history.lastKey()) + 1;
        publish(revision, content);
        return revision;
    }

    /**
     * Publishes a value under any revision, including an older one and one that is in use already.
     *
     * @throws IllegalArgumentException if the value is larger than the real service accepts
     */
    public void publish(long revision, byte[] content) {
        if (content.length > TableLimits.MAX_VALUE_BYTES) {
            throw new IllegalArgumentException(
                    "value of " + content.length + " bytes; at most " + TableLimits.MAX_VALUE_BYTES + " are accepted");
        }
        synchronized (this) {
            if (reordering && newest != null) {
                delayed.add(newest);
            }
            newest = new SourceValue(revision, content.clone());
            history.put(revision, newest.content());
            if (history.size() > MAX_HISTORY_ENTRIES) {
                history.pollFirstEntry();
            }
        }
        updateVisible();
    }

    /**
     * Regresses to an older revision, as after a restore from a backup.
     *
     * @throws IllegalArgumentException if the revision is not in the history, which keeps the 64 highest
     */
    public void restore(long revision) {
        synchronized (this) {
            byte[] content = history.get(revision);
            if (content == null) {
                throw new IllegalArgumentException("revision " + revision + " is not in the history");
            }
            newest = new SourceValue(revision, content);
        }
        updateVisible();
    }

    /** Starts or ends an outage, in which pending watches and all further calls fail. */
    public void setOutage(boolean outage) {
        List<PendingWatch> failed = List.of();
        synchronized (this) {
            unavailable = outage;
            if (outage) {
                failed = List.copyOf(pendingWatches);
                pendingWatches.clear();
            }
        }
        for (PendingWatch pending : failed) {
            pending.future().completeExceptionally(unreachable());
        }
        updateVisible();
    }

    /** Freezes the visible value while stale; newer ones become visible when the service is fresh again. */
    public void setStale(boolean stale) {
        synchronized (this) {
            this.stale = stale;
        }
        updateVisible();
    }

    /** Makes deliveries arrive out of order: each replaced value is delivered once more, to the next call. */
    public synchronized void setReordering(boolean reordering) {
        this.reordering = reordering;
        if (!reordering) {
            delayed.clear();
        }
    }

    /** Returns the number of calls so far; a watch counts once. */
    public synchronized long callCount() {
        return callCount;
    }

    /** Returns the number of watches that are waiting for a newer revision. */
    public synchronized int pendingWatchCount() {
        return pendingWatches.size();
    }

    @Override
    public synchronized CompletableFuture<SourceValue> read() {
        callCount++;
        if (unavailable || visible == null) {
            return CompletableFuture.failedFuture(unreachable());
        }
        return CompletableFuture.completedFuture(delayed.isEmpty() ? visible : delayed.remove());
    }

    @Override
    public synchronized CompletableFuture<SourceValue> watch(long afterRevision) {
        callCount++;
        if (unavailable) {
            return CompletableFuture.failedFuture(unreachable());
        }
        if (!delayed.isEmpty()) {
            return CompletableFuture.completedFuture(delayed.remove());
        }
        if (visible != null && visible.revision() > afterRevision) {
            return CompletableFuture.completedFuture(visible);
        }
        PendingWatch pending = new PendingWatch(afterRevision, new CompletableFuture<>());
        pendingWatches.add(pending);
        var end = scheduler.schedule(
                () -> pending.future().complete(null), MAX_WATCH_WAIT.toMillis(), TimeUnit.MILLISECONDS);
        pending.future().whenComplete((value, failure) -> {
            end.dispose();
            remove(pending);
        });
        return pending.future();
    }

    private synchronized void remove(PendingWatch pending) {
        pendingWatches.remove(pending);
    }

    /**
     * Makes the newest value visible and completes the watches that wait for it. Futures are completed outside the lock
     * because their dependent stages run in the same thread.
     */
    private void updateVisible() {
        List<PendingWatch> ready = new ArrayList<>();
        SourceValue value;
        synchronized (this) {
            if (stale || unavailable || newest == null) {
                return;
            }
            visible = newest;
            value = visible;
            for (Iterator<PendingWatch> each = pendingWatches.iterator(); each.hasNext(); ) {
                PendingWatch pending = each.next();
                if (value.revision() > pending.after()) {
                    each.remove();
                    ready.add(pending);
                }
            }
        }
        for (PendingWatch pending : ready) {
            pending.future().complete(value);
        }
    }

    private static SourceException unreachable() {
        return new SourceException(SourceException.Kind.UNREACHABLE, "configuration service unreachable");
    }
}
