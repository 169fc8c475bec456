package io.jaywick.node.proxy;

import java.time.InstantSource;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.jaywick.core.limits.CallQuota;
import io.jaywick.core.membership.MembershipView;
import io.jaywick.core.record.UsageObserver;
import io.jaywick.core.settings.CallsSettings;
import io.jaywick.core.snapshot.Snapshot;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.tracing.Tracer;
import reactor.core.scheduler.Scheduler;

/**
 * Dependencies of the proxy on the rest of the node.
 *
 * @param snapshots supplies the active table, null before the first
 * @param timers scheduler of timeouts and periodic tasks
 * @param nanoTime monotonic clock
 * @param clock wall clock, for the creation times of idempotency keys
 * @param random thread-safe generator
 */
public record ProxyContext(
        NodeLocation location,
        Supplier<Snapshot> snapshots,
        MembershipView members,
        CallQuota quota,
        UsageObserver usage,
        CallsSettings settings,
        Scheduler timers,
        LongSupplier nanoTime,
        InstantSource clock,
        RandomGenerator random,
        MeterRegistry meters,
        Tracer tracer) {}
