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

/**
 * Generates open-loop load at a constant rate from the local callers of all nodes. Latency counts from the moment at
 * which a call is due.
 */
final class CallsLoad {

    private static final long TICK_MILLIS = 5;
    private static final long MAX_LATENCY_MICROS = 60_000_000;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final CallsStrategy strategy;
    private final List<String> callers;
    private final Scheduler timers;
    private final Random random;
    private final AtomicLong nextId = new AtomicLong();
    private final AtomicInteger failedIdempotent = new AtomicInteger();
    private final AtomicInteger inFlight = new AtomicInteger();
    private final Map<String, Boolean> writeRequestIds = new ConcurrentHashMap<>();

    CallsLoad(CallsStrategy strategy, List<String> callers, Scheduler timers, long seed) {
        this.strategy = strategy;
        this.callers = callers;
        this.timers = timers;
        this.random = new Random(seed);
    }

    /**
     * Runs the load for a time and returns the latencies, in microseconds, of the calls that were due in that time. A
     * call that is still in flight is added to the histogram when it ends.
     */
    Histogram run(long millis) {
        Histogram latencies = histogram();
        int perTick = (int) (CallsScenario.CALLS_PER_SECOND * TICK_MILLIS / 1_000);
        Flux.interval(Duration.ofMillis(TICK_MILLIS), timers)
                .take(millis / TICK_MILLIS)
                .onBackpressureBuffer()
                .doOnNext(tick -> {
                    for (int i = 0; i < perTick; i++) {
                        send(latencies);
                    }
                })
                .blockLast();
        return latencies;
    }

    /** Waits until no call is in flight. */
    void awaitNoCallsInFlight() {
        Flux.interval(Duration.ofMillis(TICK_MILLIS), timers)
                .takeUntil(tick -> inFlight.get() == 0)
                .blockLast();
    }

    /** Returns how many idempotent calls have failed so far. */
    int failedIdempotent() {
        return failedIdempotent.get();
    }

    /** Returns the ids of the non-idempotent requests, which must not run more than once. */
    Iterable<String> writeRequestIds() {
        return writeRequestIds.keySet();
    }

    private void send(Histogram latencies) {
        long id = nextId.getAndIncrement();
        String caller = callers.get((int) (id % callers.size()));
        boolean write = id % CallsScenario.WRITE_EVERY == 0;
        String requestId = (write ? "w" : "r") + id;
        String idempotencyKey =
                write ? UuidV7.of(System.currentTimeMillis(), random.nextLong(), random.nextLong()) : null;
        long dueNanos = System.nanoTime();
        inFlight.incrementAndGet();
        if (write) {
            writeRequestIds.put(requestId, true);
        }
        String path = write ? CallsScenario.WRITE : CallsScenario.READ;
        Mono<CallsStrategy.Result> call = strategy.call(caller, path, requestId, idempotencyKey, null);
        if (write) {
            // Models a user who repeats a failed action once, with the same idempotency key.
            call = call.flatMap(result -> result == CallsStrategy.Result.ANSWERED
                    ? Mono.just(result)
                    : strategy.call(caller, path, requestId, idempotencyKey, null));
        }
        call.doFinally(signal -> inFlight.decrementAndGet()).subscribe(result -> {
            latencies.recordValue(Math.min(MAX_LATENCY_MICROS, (System.nanoTime() - dueNanos) / 1_000));
            if (!write && result != CallsStrategy.Result.ANSWERED) {
                failedIdempotent.incrementAndGet();
            }
        });
    }

    private static Histogram histogram() {
        return new ConcurrentHistogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
    }
}
