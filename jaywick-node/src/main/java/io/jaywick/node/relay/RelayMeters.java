package io.jaywick.node.relay;

import java.time.Duration;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Supplier;

import io.jaywick.core.placement.AttemptPurpose;
import io.jaywick.core.retry.NestedCallAdmission;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;

/** Counters and latency histograms of a node's calls. */
final class RelayMeters {

    private static final int STATUS_CLASS = 100;

    private final MeterRegistry registry;
    private final Map<String, Timer> latencies = new HashMap<>();
    private final Map<String, Counter> attempts = new HashMap<>();
    private final Map<AttemptPurpose, Counter> attemptsInOtherRegions = new EnumMap<>(AttemptPurpose.class);
    private final Map<String, Counter> budgetEvents = new HashMap<>();
    private final Map<String, Counter> nestedCalls = new HashMap<>();
    private final Map<String, Counter> refusedExecutions = new HashMap<>();
    private final Map<String, Counter> accountOutcomes = new HashMap<>();
    private final Counter cancelled;
    private final Counter hedged;

    RelayMeters(MeterRegistry registry) {
        this.registry = registry;
        this.cancelled = registry.counter("jaywick.calls.cancelled");
        this.hedged = registry.counter("jaywick.calls.hedged");
    }

    /** Counts an attempt that ended. */
    void countAttempt(CallResult.Outcome outcome, String reason) {
        attempts.computeIfAbsent(
                        outcome + " " + reason,
                        key -> registry.counter(
                                "jaywick.attempts",
                                "outcome",
                                outcome.name().toLowerCase(Locale.ROOT),
                                "reason",
                                reason))
                .increment();
    }

    /** Counts an attempt in another region, which is paid for. */
    void countOtherRegion(AttemptPurpose purpose) {
        attemptsInOtherRegions
                .computeIfAbsent(
                        purpose,
                        key -> registry.counter(
                                "jaywick.attempts.other.region",
                                "purpose",
                                key.name().toLowerCase(Locale.ROOT).replace('_', '-')))
                .increment();
    }

    /** Records the status class and the latency of a response to a caller. */
    void recordResponse(String route, int status, long millis) {
        String statusClass = status / STATUS_CLASS + "xx";
        latencies
                .computeIfAbsent(route + " " + statusClass, key -> Timer.builder("jaywick.calls")
                        .tag("route", route)
                        .tag("status", statusClass)
                        .publishPercentileHistogram(false)
                        .serviceLevelObjectives(
                                Duration.ofMillis(50),
                                Duration.ofMillis(100),
                                Duration.ofMillis(200),
                                Duration.ofMillis(500),
                                Duration.ofSeconds(1),
                                Duration.ofSeconds(2),
                                Duration.ofSeconds(5))
                        .register(registry))
                .record(Duration.ofMillis(millis));
    }

    /** Counts events of one kind at the retry budget of a service. */
    void countBudgetEvents(String service, String event, int count) {
        budgetEvents
                .computeIfAbsent(
                        service + " " + event,
                        key -> registry.counter("jaywick.retry.budget", "service", service, "event", event))
                .increment(count);
    }

    /** Counts a call made for a running request, by whether it found capacity at the service called. */
    void countNestedCall(String service, NestedCallAdmission.Outcome outcome) {
        nestedCalls
                .computeIfAbsent(
                        service + " " + outcome,
                        key -> registry.counter(
                                "jaywick.nested.calls",
                                "service",
                                service,
                                "outcome",
                                outcome.name().toLowerCase(Locale.ROOT)))
                .increment();
    }

    /** Counts an execution that was refused because its calls would find no capacity. */
    void countRefusedExecution(String route) {
        refusedExecutions
                .computeIfAbsent(route, key -> registry.counter("jaywick.nested.executions.refused", "route", route))
                .increment();
    }

    /** Shows the admitted share of the executions that call a service. */
    void registerNestedShare(String service, Supplier<Number> share) {
        Gauge.builder("jaywick.nested.admitted.share", share)
                .tag("service", service)
                .register(registry);
    }

    /** Counts a call by what was decided on its client account. */
    void countAccountOutcome(String outcome) {
        accountOutcomes
                .computeIfAbsent(outcome, key -> registry.counter("jaywick.account.calls", "outcome", outcome))
                .increment();
    }

    void countHedged() {
        hedged.increment();
    }

    void countCancelled() {
        cancelled.increment();
    }
}
