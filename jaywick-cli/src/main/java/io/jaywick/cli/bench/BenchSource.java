package io.jaywick.cli.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

import io.jaywick.node.source.ConfigSource;
import io.jaywick.node.source.SourceValue;
import reactor.core.scheduler.Scheduler;

/** A configuration service in memory that counts calls and the bytes that it sends to other regions. */
final class BenchSource {

    private static final long WAIT_MILLIS = 30_000;
    private static final long LOCAL_MILLIS = 1;

    final LongAdder calls = new LongAdder();
    final LongAdder sentBytes = new LongAdder();
    private final Scheduler scheduler;
    private final String region;
    private final RegionalTraffic regional;
    private final List<Watch> watches = new ArrayList<>();
    private SourceValue value;

    BenchSource(Scheduler scheduler, String region, RegionalTraffic regional) {
        this.scheduler = scheduler;
        this.region = region;
        this.regional = regional;
    }

    void publish(SourceValue next) {
        List<Watch> due = new ArrayList<>();
        synchronized (this) {
            value = next;
            watches.removeIf(watch -> watch.after < next.revision() && due.add(watch));
        }
        due.forEach(watch -> send(next, watch.region, watch.future));
    }

    /** The service as a node of the region sees it. */
    ConfigSource view(String from) {
        return new ConfigSource() {
            @Override
            public CompletableFuture<SourceValue> read() {
                return call(-1, from);
            }

            @Override
            public CompletableFuture<SourceValue> watch(long afterRevision) {
                return call(afterRevision, from);
            }
        };
    }

    private CompletableFuture<SourceValue> call(long after, String from) {
        calls.increment();
        CompletableFuture<SourceValue> future = new CompletableFuture<>();
        SourceValue known;
        synchronized (this) {
            known = value;
            if (known.revision() <= after) {
                Watch watch = new Watch(after, from, future);
                watches.add(watch);
                scheduler.schedule(() -> end(watch), WAIT_MILLIS, TimeUnit.MILLISECONDS);
                future.whenComplete((v, e) -> forget(watch));
                return future;
            }
        }
        send(known, from, future);
        return future;
    }

    private void send(SourceValue sent, String to, CompletableFuture<SourceValue> future) {
        sentBytes.add(sent.content().length);
        boolean far = !to.equals(region);
        if (far) {
            regional.add(region, to, sent.content().length);
        }
        scheduler.schedule(
                () -> future.complete(sent),
                far ? 2 * RegionalTraffic.LATENCY_MILLIS : LOCAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void end(Watch watch) {
        forget(watch);
        watch.future.complete(null);
    }

    private synchronized void forget(Watch watch) {
        watches.remove(watch);
    }

    private record Watch(long after, String region, CompletableFuture<SourceValue> future) {}
}
