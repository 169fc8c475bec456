package io.jaywick.cli.bench;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import io.jaywick.core.retry.UuidV7;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/** Open load at a constant rate from callers beside all nodes. Latency counts from the moment a call is due. */
final class CallsLoad {

    private static final long TICK_MILLIS = 5;
    private static final long MAX_MICROS = 60_000_000;
    private static final int DIGITS = 3;

    private final CallsStrategy strategy;
    private final List<String> callers;
    private final Scheduler timers;
    private final Random random;
    private final AtomicLong number = new AtomicLong();
    private final AtomicInteger failedIdempotent = new AtomicInteger();
    private final AtomicInteger inFlight = new AtomicInteger();
    private final Map<String, Boolean> writes = new ConcurrentHashMap<>();

    CallsLoad(CallsStrategy strategy, List<String> callers, Scheduler timers, long seed) {
        this.strategy = strategy;
        this.callers = callers;
        this.timers = timers;
        this.random = new Random(seed);
    }

    /** Runs the load for a time and returns the latencies in microseconds of the calls that were due in it. */
    Histogram run(long millis) {
        Histogram own = histogram();
        int perTick = (int) (CallsScenario.CALLS_PER_SECOND * TICK_MILLIS / 1_000);
        Flux.interval(Duration.ofMillis(TICK_MILLIS), timers)
                .take(millis / TICK_MILLIS)
                .onBackpressureBuffer()
                .doOnNext(tick -> {
                    for (int i = 0; i < perTick; i++) {
                        send(own);
                    }
                })
                .blockLast();
        return own;
    }

    /** Waits until no call is in flight. */
    void settle() {
        Flux.interval(Duration.ofMillis(TICK_MILLIS), timers)
                .takeUntil(tick -> inFlight.get() == 0)
                .blockLast();
    }

    /** Idempotent calls that ended without an answer. */
    int failedIdempotent() {
        return failedIdempotent.get();
    }

    /** Ids of the requests that must not run twice. */
    Iterable<String> writes() {
        return writes.keySet();
    }

    private void send(Histogram into) {
        long id = number.getAndIncrement();
        String caller = callers.get((int) (id % callers.size()));
        boolean write = id % CallsScenario.WRITE_EVERY == 0;
        String request = (write ? "w" : "r") + id;
        String key = write ? UuidV7.of(System.currentTimeMillis(), random.nextLong(), random.nextLong()) : null;
        long due = System.nanoTime();
        inFlight.incrementAndGet();
        if (write) {
            writes.put(request, true);
        }
        String path = write ? CallsScenario.WRITE : CallsScenario.READ;
        Mono<CallsStrategy.Result> call = strategy.call(caller, path, request, key, null);
        if (write) {
            // A user who sees a failure presses the button once more.
            call = call.flatMap(result -> result == CallsStrategy.Result.ANSWERED
                    ? Mono.just(result)
                    : strategy.call(caller, path, request, key, null));
        }
        call.doFinally(signal -> inFlight.decrementAndGet()).subscribe(result -> {
            into.recordValue(Math.min(MAX_MICROS, (System.nanoTime() - due) / 1_000));
            if (!write && result != CallsStrategy.Result.ANSWERED) {
                failedIdempotent.incrementAndGet();
            }
        });
    }

    private static Histogram histogram() {
        return new ConcurrentHistogram(MAX_MICROS, DIGITS);
    }
}
