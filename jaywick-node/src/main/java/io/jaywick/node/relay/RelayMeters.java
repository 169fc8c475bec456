package io.jaywick.node.relay;

import java.time.Duration;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;

/** Counters and latency histograms of a node's calls. */
final class RelayMeters {

    private static final int STATUS_CLASS = 100;

    private final MeterRegistry registry;
    private final Map<String, Timer> latencies = new HashMap<>();
    private final Map<String, Counter> attempts = new HashMap<>();
    private final Map<String, Counter> budgetEvents = new HashMap<>();
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
