package io.jaywick.cli.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

import io.jaywick.node.source.ConfigSource;
import io.jaywick.node.source.SourceValue;
import reactor.core.scheduler.Scheduler;

/** An in-memory configuration service that counts calls, sent bytes and the bytes sent to other regions. */
final class BenchSource {

    private static final long WATCH_TIMEOUT_MILLIS = 30_000;
    private static final long SAME_REGION_MILLIS = 1;

    final LongAdder callCount = new LongAdder();
    final LongAdder sentBytes = new LongAdder();
    private final Scheduler scheduler;
    private final String region;
    private final RegionalTraffic regionalTraffic;
    private final List<Watch> watches = new ArrayList<>();
    private SourceValue value;

    BenchSource(Scheduler scheduler, String region, RegionalTraffic regionalTraffic) {
        this.scheduler = scheduler;
        this.region = region;
        this.regionalTraffic = regionalTraffic;
    }

    void publish(SourceValue next) {
        List<Watch> completed = new ArrayList<>();
        synchronized (this) {
            value = next;
            watches.removeIf(watch -> watch.afterRevision < next.revision() && completed.add(watch));
        }
        completed.forEach(watch -> send(next, watch.region, watch.future));
    }

    /** Returns the service for nodes of a region; answers to other regions take longer. */
    ConfigSource sourceFor(String from) {
        return new ConfigSource() {
            @Override
            public CompletableFuture<SourceValue> read() {
                return query(-1, from);
            }

            @Override
            public CompletableFuture<SourceValue> watch(long afterRevision) {
                return query(afterRevision, from);
            }
        };
    }

    private CompletableFuture<SourceValue> query(long afterRevision, String from) {
        callCount.increment();
        CompletableFuture<SourceValue> future = new CompletableFuture<>();
        SourceValue current;
        synchronized (this) {
            current = value;
            if (current.revision() <= afterRevision) {
                Watch watch = new Watch(afterRevision, from, future);
                watches.add(watch);
                scheduler.schedule(() -> expire(watch), WATCH_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
                future.whenComplete((v, e) -> remove(watch));
                return future;
            }
        }
        send(current, from, future);
        return future;
    }

    private void send(SourceValue sent, String to, CompletableFuture<SourceValue> future) {
        sentBytes.add(sent.content().length);
        boolean crossesRegions = !to.equals(region);
        if (crossesRegions) {
            regionalTraffic.recordBytes(region, to, sent.content().length);
        }
        scheduler.schedule(
                () -> future.complete(sent),
                crossesRegions ? 2 * RegionalTraffic.LATENCY_MILLIS : SAME_REGION_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void expire(Watch watch) {
        remove(watch);
        watch.future.complete(null);
    }

    private synchronized void remove(Watch watch) {
        watches.remove(watch);
    }

    private record Watch(long afterRevision, String region, CompletableFuture<SourceValue> future) {}
}
