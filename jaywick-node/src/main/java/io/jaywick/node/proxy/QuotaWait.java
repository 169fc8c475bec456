package io.jaywick.node.proxy;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;

import io.jaywick.core.limits.CallQuota;
import io.jaywick.core.snapshot.Party;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Lets the first calls of a party at a node wait for a quota grant instead of being refused. A party that holds quota
 * at the node and has used it up is refused without delay. See docs/design-limits.md.
 */
final class QuotaWait {

    /**
     * Limits the wait to 300 ms, which is enough for one tick of the limiter and one round trip between regions, with a
     * margin.
     */
    private static final int MAX_ACQUIRE_ATTEMPTS = 6;

    private static final Duration ACQUIRE_INTERVAL = Duration.ofMillis(50);
    /** Bounds the memory of waiting calls. */
    private static final int MAX_WAITING_CALLS = 256;

    private final CallQuota quota;
    private final Scheduler timers;
    private final AtomicInteger waitingCalls = new AtomicInteger();

    QuotaWait(CallQuota quota, Scheduler timers) {
        this.quota = quota;
        this.timers = timers;
    }

    /** Completes with true once a call has been acquired from the quota, or with false if the call must be refused. */
    Mono<Boolean> acquire(Party party) {
        if (!quota.isAwaitingGrant(party)) {
            return Mono.just(false);
        }
        if (waitingCalls.incrementAndGet() > MAX_WAITING_CALLS) {
            waitingCalls.decrementAndGet();
            return Mono.just(false);
        }
        return Flux.interval(ACQUIRE_INTERVAL, timers)
                .take(MAX_ACQUIRE_ATTEMPTS)
                .onBackpressureDrop()
                .filter(attempt -> quota.tryAcquire(party))
                .next()
                .hasElement()
                .doFinally(signal -> waitingCalls.decrementAndGet());
    }
}
