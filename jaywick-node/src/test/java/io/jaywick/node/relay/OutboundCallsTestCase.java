package io.jaywick.node.relay;

import java.util.Random;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

class OutboundCallsTestCase {

    private static OutboundCalls start(Random random) {
        RelayContext context = new RelayContext(
                RelayFixture.settings("caller", "127.0.0.2", 1, "127.0.0.2:2"),
                RelayFixture.NAMES,
                null,
                new NodeRuntime(null, null, () -> 0, random, null),
                new DrainDeadline());
        return new OutboundCalls(
                context,
                null,
                null,
                null,
                null,
                null,
                new RelayMeters(new PrometheusMeterRegistry(PrometheusConfig.DEFAULT)));
    }

    /** Guards against a cancellation from before a restart that is read late and cancels a call of the new process. */
    @Test
    void idsOfCallsDifferFromThoseBeforeARestart() {
        Random random = new Random(1);
        OutboundCalls before = start(random);
        OutboundCalls after = start(random);
        String id = before.nextCallId();
        assertThat(before.nextCallId(), not(is(id)));
        assertThat(after.nextCallId(), not(is(id)));
    }
}
