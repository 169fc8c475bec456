package io.jaywick.node.trace;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.micrometer.tracing.Span;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;

class TracingTestCase {

    private static final String PARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-";

    /** Guards against a hop that starts a new trace instead of continuing the trace of its caller. */
    @Test
    void spanContinuesIncomingTrace() throws IOException {
        List<String> lines = new CopyOnWriteArrayList<>();
        Map<String, String> outgoing = new HashMap<>();
        try (Tracing tracing = new Tracing(new SpanLogExporter(lines::add), 1_000_000)) {
            Span span = tracing.propagator()
                    .extract(Map.of("traceparent", PARENT + "01"), Map::get)
                    .name("egress")
                    .start();
            tracing.propagator().inject(span.context(), outgoing, Map::put);
            span.end();
        }
        assertThat(lines, hasSize(1));
        JsonNode line = new ObjectMapper().readTree(lines.get(0));
        assertThat(line.path("traceId").asText(), equalTo("0af7651916cd43dd8448eb211c80319c"));
        assertThat(line.path("parentId").asText(), equalTo("b7ad6b7169203331"));
        assertThat(
                outgoing.get("traceparent"),
                equalTo("00-0af7651916cd43dd8448eb211c80319c-"
                        + line.path("spanId").asText() + "-01"));
    }

    /** Guards against exporting a trace that the caller decided not to sample. */
    @Test
    void unsampledTraceIsNotExported() {
        List<String> lines = new CopyOnWriteArrayList<>();
        try (Tracing tracing = new Tracing(new SpanLogExporter(lines::add), 1)) {
            tracing.propagator()
                    .extract(Map.of("traceparent", PARENT + "00"), Map::get)
                    .name("egress")
                    .start()
                    .end();
        }
        assertThat(lines, empty());
    }
}
