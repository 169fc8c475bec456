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
 * Configuration service in memory. Its faults are switched on demand; it counts every call, of which a waiting watch is
 * one. Waits end on the scheduler's clock.
 */
public final class FakeConfigService implements ConfigSource {

    private static final Duration LONGEST_WAIT = Duration.ofSeconds(30);
    /** Older revisions that {@link #restore} can bring back. */
    private static final int HISTORY = 64;

    private final Scheduler scheduler;
    private final TreeMap<Long, byte[]> history = new TreeMap<>();
    private final List<Waiter> waiters = new ArrayList<>();
    /** Answers that arrive late, after that of a newer revision. */
    private final Queue<SourceValue> late = new ArrayDeque<>();

    private SourceValue newest;
    private SourceValue shown;
    private boolean out;
    private boolean stale;
    private boolean crossed;
    private long callCount;

    public FakeConfigService(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    private record Waiter(long after, CompletableFuture<SourceValue> future) {}

    /** Publishes a value under the next revision and returns that. */
    public synchronized long publish(byte[] content) {
        long revision = newest == null ? 1 : Math.max(newest.revision(), history.lastKey()) + 1;
        publish(revision, content);
        return revision;
    }

    /** Publishes a value under any revision, also an older one or one that is taken. */
    public void publish(long revision, byte[] content) {
        if (content.length > TableLimits.MAX_VALUE_BYTES) {
            throw new IllegalArgumentException("a value has at most " + TableLimits.MAX_VALUE_BYTES + " bytes");
        }
        synchronized (this) {
            if (crossed && newest != null) {
                late.add(newest);
            }
            newest = new SourceValue(revision, content.clone());
            history.put(revision, newest.content());
            if (history.size() > HISTORY) {
                history.pollFirstEntry();
            }
        }
        show();
    }

    /** Goes back to an older revision, as after a restore from a backup. */
    public void restore(long revision) {
        synchronized (this) {
            byte[] content = history.get(revision);
            if (content == null) {
                throw new IllegalArgumentException("revision " + revision + " is not in the history");
            }
            newest = new SourceValue(revision, content);
        }
        show();
    }

    /** In an outage every call fails, and so do the waiting ones. */
    public void setOutage(boolean outage) {
        List<Waiter> failed = List.of();
        synchronized (this) {
            out = outage;
            if (outage) {
                failed = List.copyOf(waiters);
                waiters.clear();
            }
        }
        for (Waiter waiter : failed) {
            waiter.future().completeExceptionally(unreachable());
        }
        show();
    }

    /** While stale, readers see the value of the moment at which staleness began. */
    public void setStale(boolean stale) {
        synchronized (this) {
            this.stale = stale;
        }
        show();
    }

    /** While crossed, each replaced value is answered once more, to the first call after its successor was answered. */
    public synchronized void setReordering(boolean crossed) {
        this.crossed = crossed;
        if (!crossed) {
            late.clear();
        }
    }

    /** Number of calls so far; a waiting watch is one. */
    public synchronized long callCount() {
        return callCount;
    }

    /** Number of watches that wait now. */
    public synchronized int waiting() {
        return waiters.size();
    }

    @Override
    public synchronized CompletableFuture<SourceValue> read() {
        callCount++;
        if (out || shown == null) {
            return CompletableFuture.failedFuture(unreachable());
        }
        return CompletableFuture.completedFuture(late.isEmpty() ? shown : late.remove());
    }

    @Override
    public synchronized CompletableFuture<SourceValue> watch(long afterRevision) {
        callCount++;
        if (out) {
            return CompletableFuture.failedFuture(unreachable());
        }
        if (!late.isEmpty()) {
            return CompletableFuture.completedFuture(late.remove());
        }
        if (shown != null && shown.revision() > afterRevision) {
            return CompletableFuture.completedFuture(shown);
        }
        Waiter waiter = new Waiter(afterRevision, new CompletableFuture<>());
        waiters.add(waiter);
        var end = scheduler.schedule(
                () -> waiter.future().complete(null), LONGEST_WAIT.toMillis(), TimeUnit.MILLISECONDS);
        waiter.future().whenComplete((value, failure) -> {
            end.dispose();
            remove(waiter);
        });
        return waiter.future();
    }

    private synchronized void remove(Waiter waiter) {
        waiters.remove(waiter);
    }

    /** Futures complete outside the lock, because their dependents run in the same thread. */
    private void show() {
        List<Waiter> ready = new ArrayList<>();
        SourceValue value;
        synchronized (this) {
            if (stale || out || newest == null) {
                return;
            }
            shown = newest;
            value = shown;
            for (Iterator<Waiter> each = waiters.iterator(); each.hasNext(); ) {
                Waiter waiter = each.next();
                if (value.revision() > waiter.after()) {
                    each.remove();
                    ready.add(waiter);
                }
            }
        }
        for (Waiter waiter : ready) {
            waiter.future().complete(value);
        }
    }

    private static SourceException unreachable() {
        return new SourceException(SourceException.Kind.UNREACHABLE, "the configuration service does not answer");
    }
}
