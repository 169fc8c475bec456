package io.jaywick.standin.instances;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.jaywick.node.source.InstanceEntry;
import io.jaywick.node.source.InstanceList;
import io.jaywick.node.source.SourceException;
import reactor.core.scheduler.Scheduler;

/**
 * Instance list in memory. Changes become visible after a lag on the scheduler's clock. Faulty entries can be added,
 * which replace or supplement the correct ones. Thread-safe.
 */
public final class FakeInstanceList implements InstanceList {

    private final Scheduler scheduler;
    private final Map<String, InstanceEntry> entries = new TreeMap<>();
    private final Map<String, InstanceEntry> faulty = new TreeMap<>();
    private final Deque<Change> changes = new ArrayDeque<>();

    private Duration lag = Duration.ZERO;
    private boolean unavailable;
    private long callCount;
    private List<InstanceEntry> visible = List.of();

    public FakeInstanceList(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    private record Change(long visibleAtMillis, List<InstanceEntry> entries) {}

    /** Adds or replaces the entry of a server. */
    public synchronized void put(InstanceEntry entry) {
        entries.put(entry.server(), entry);
        enqueueChange();
    }

    /** Adds or replaces the entries of many servers in one change. */
    public synchronized void putAll(Collection<InstanceEntry> added) {
        for (InstanceEntry entry : added) {
            entries.put(entry.server(), entry);
        }
        enqueueChange();
    }

    public synchronized void remove(String server) {
        entries.remove(server);
        enqueueChange();
    }

    /** Sets the time after which subsequent changes become visible. Changes become visible in order. */
    public synchronized void setLag(Duration lag) {
        this.lag = lag;
    }

    /** Adds a faulty entry, visible at once, which replaces the correct entry of that server if there is one. */
    public synchronized void putFaulty(InstanceEntry entry) {
        faulty.put(entry.server(), entry);
    }

    /** Removes all faulty entries. */
    public synchronized void clearFaulty() {
        faulty.clear();
    }

    /** Starts or ends an outage, in which every call fails. */
    public synchronized void setOutage(boolean outage) {
        unavailable = outage;
    }

    /** Returns the number of calls so far. */
    public synchronized long callCount() {
        return callCount;
    }

    @Override
    public synchronized CompletableFuture<List<InstanceEntry>> list() {
        callCount++;
        if (unavailable) {
            return CompletableFuture.failedFuture(
                    new SourceException(SourceException.Kind.UNREACHABLE, "instance list unreachable"));
        }
        long now = scheduler.now(TimeUnit.MILLISECONDS);
        while (!changes.isEmpty() && changes.peek().visibleAtMillis() <= now) {
            visible = changes.remove().entries();
        }
        Map<String, InstanceEntry> shown = new TreeMap<>();
        for (InstanceEntry entry : visible) {
            shown.put(entry.server(), entry);
        }
        shown.putAll(faulty);
        return CompletableFuture.completedFuture(new ArrayList<>(shown.values()));
    }

    private void enqueueChange() {
        long visibleAt = scheduler.now(TimeUnit.MILLISECONDS) + lag.toMillis();
        if (!changes.isEmpty()) {
            visibleAt = Math.max(visibleAt, changes.peekLast().visibleAtMillis());
        }
        changes.add(new Change(visibleAt, List.copyOf(entries.values())));
    }
}
