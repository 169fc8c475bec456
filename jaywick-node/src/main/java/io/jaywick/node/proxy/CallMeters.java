package io.jaywick.node.proxy;

import java.time.Duration;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.jaywick.core.record.CallOutcome;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;

/**
 * Metrics of the calls. Label values come from the table and from fixed sets, never from a request, which bounds the
 * number of time series. The services of region-bound calls are named only inside their home regions.
 */
final class CallMeters {

    static final String REGION_BOUND = "region-bound";

    private record MeterKey(String service, CallOutcome outcome, String reason) {}

    private record Meters(Timer timer, Counter attempts) {}

    private final String hop;
    private final MeterRegistry registry;
    private final ConcurrentHashMap<MeterKey, Meters> meters = new ConcurrentHashMap<>();

    CallMeters(String hop, MeterRegistry registry) {
        this.hop = hop;
        this.registry = registry;
    }

    /**
     * Records a completed call.
     *
     * @param service name from the table, {@link #REGION_BOUND}, or empty
     * @param reason reason of a refusal, a shed call or an unknown outcome, otherwise empty
     */
    void recordCall(String service, CallOutcome outcome, String reason, int attempts, long nanos) {
        Meters callMeters = meters.computeIfAbsent(new MeterKey(service, outcome, reason), this::register);
        callMeters.timer().record(nanos, TimeUnit.NANOSECONDS);
        callMeters.attempts().increment(attempts);
    }

    private Meters register(MeterKey key) {
        String[] tags = {
            "hop", hop, "service", key.service(), "outcome", key.outcome().headerValue(), "reason", key.reason()
        };
        Timer timer = Timer.builder("jaywick.calls")
                .tags(tags)
                .serviceLevelObjectives(Duration.ofMillis(1), Duration.ofMillis(10), Duration.ofMillis(100))
                .register(registry);
        return new Meters(
                timer, Counter.builder("jaywick.call.attempts").tags(tags).register(registry));
    }
}
