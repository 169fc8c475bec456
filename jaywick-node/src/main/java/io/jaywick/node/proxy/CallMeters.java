package io.jaywick.node.proxy;

import java.time.Duration;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.jaywick.core.record.CallOutcome;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;

/**
 * Metrics of the calls. Labels come from the table and from fixed lists, never from a request, so that their number is
 * bounded. Services of region-bound calls are named inside their home regions only.
 */
final class CallMeters {

    static final String REGION_BOUND = "region-bound";

    private record Label(String service, CallOutcome outcome, String reason) {}

    private record Meters(Timer timer, Counter attempts) {}

    private final String hop;
    private final MeterRegistry registry;
    private final ConcurrentHashMap<Label, Meters> meters = new ConcurrentHashMap<>();

    CallMeters(String hop, MeterRegistry registry) {
        this.hop = hop;
        this.registry = registry;
    }

    /**
     * Counts an ended call.
     *
     * @param service name from the table, {@link #REGION_BOUND}, or empty
     * @param reason reason of a refusal or an unknown outcome, else empty
     */
    void ended(String service, CallOutcome outcome, String reason, int attempts, long nanos) {
        Meters found = meters.computeIfAbsent(new Label(service, outcome, reason), this::register);
        found.timer().record(nanos, TimeUnit.NANOSECONDS);
        found.attempts().increment(attempts);
    }

    private Meters register(Label label) {
        String[] tags = {
            "hop", hop, "service", label.service(), "outcome", label.outcome().headerValue(), "reason", label.reason()
        };
        Timer timer = Timer.builder("jaywick.calls")
                .tags(tags)
                .serviceLevelObjectives(Duration.ofMillis(1), Duration.ofMillis(10), Duration.ofMillis(100))
                .register(registry);
        return new Meters(
                timer, Counter.builder("jaywick.call.attempts").tags(tags).register(registry));
    }
}
