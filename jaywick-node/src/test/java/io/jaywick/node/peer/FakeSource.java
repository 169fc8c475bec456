package io.jaywick.node.peer;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.jaywick.node.source.ConfigSource;
import io.jaywick.node.source.SourceException;
import io.jaywick.node.source.SourceValue;
import reactor.test.scheduler.VirtualTimeScheduler;

/** An in-memory configuration service that can be down, hang, be stale or regress to an older revision. */
final class FakeSource {

    private final VirtualTimeScheduler time;
    private final List<Watch> watches = new ArrayList<>();
    final Map<Long, Integer> callsBySecond = new TreeMap<>();
    SourceValue value;
    boolean down;
    boolean hangs;
    int calls;

    FakeSource(VirtualTimeScheduler time) {
        this.time = time;
    }

    void publish(long revision, String text) {
        publish(revision, TestTable.packed(text));
    }

    void publish(long revision, byte[] content) {
        value = new SourceValue(revision, content);
        for (Iterator<Watch> i = List.copyOf(watches).iterator(); i.hasNext(); ) {
            Watch watch = i.next();
            if (watch.after < revision) {
                watches.remove(watch);
                if (watch.reachable.getAsBoolean()) {
                    watch.future.complete(value);
                } else {
                    watch.future.completeExceptionally(failure());
                }
            }
        }
    }

    /** Fails every call that is waiting for its reply. */
    void failPendingCalls() {
        List<Watch> broken = List.copyOf(watches);
        watches.clear();
        broken.forEach(watch -> watch.future.completeExceptionally(failure()));
    }

    int maxCallsInOneSecond() {
        return callsBySecond.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    }

    /** Returns the client through which one node calls the service. */
    ConfigSource clientView(BooleanSupplier reachable) {
        return new ConfigSource() {
            @Override
            public CompletableFuture<SourceValue> read() {
                return call(-1, reachable, true);
            }

            @Override
            public CompletableFuture<SourceValue> watch(long afterRevision) {
                return call(afterRevision, reachable, false);
            }
        };
    }

    private CompletableFuture<SourceValue> call(long after, BooleanSupplier reachable, boolean read) {
        calls++;
        callsBySecond.merge(time.now(TimeUnit.MILLISECONDS) / 1_000, 1, Integer::sum);
        if (down || !reachable.getAsBoolean()) {
            return CompletableFuture.failedFuture(failure());
        }
        if (!hangs && value != null && (read || value.revision() > after)) {
            return CompletableFuture.completedFuture(value);
        }
        Watch watch = new Watch(read ? -1 : after, reachable, new CompletableFuture<>());
        watches.add(watch);
        watch.future.whenComplete((v, e) -> watches.remove(watch));
        if (!hangs) {
            time.schedule(() -> watch.future.complete(null), 30, TimeUnit.SECONDS);
        }
        return watch.future;
    }

    private static SourceException failure() {
        return new SourceException(SourceException.Kind.UNREACHABLE, "down");
    }

    private record Watch(long after, BooleanSupplier reachable, CompletableFuture<SourceValue> future) {}
}
