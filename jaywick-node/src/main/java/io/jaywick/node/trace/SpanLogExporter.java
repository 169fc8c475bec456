package io.jaywick.node.trace;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SpanExporter;

/**
 * Writes each ended span as one JSON line with the fields {@code span, traceId, spanId, parentId, kind,
 * startEpochMicros, durationMicros, error, attributes}.
 */
public final class SpanLogExporter implements SpanExporter {

    private final ObjectMapper mapper = new ObjectMapper();
    private final Consumer<String> lineConsumer;

    /** Passes one line per span, without a line break, to the consumer. */
    public SpanLogExporter(Consumer<String> lines) {
        this.lineConsumer = lines;
    }

    @Override
    public CompletableResultCode export(Collection<SpanData> spans) {
        for (SpanData span : spans) {
            try {
                lineConsumer.accept(mapper.writeValueAsString(toFields(span)));
            } catch (JsonProcessingException e) {
                return CompletableResultCode.ofFailure();
            }
        }
        return CompletableResultCode.ofSuccess();
    }

    private static Map<String, Object> toFields(SpanData span) {
        Map<String, Object> fields = new TreeMap<>();
        fields.put("span", span.getName());
        fields.put("traceId", span.getTraceId());
        fields.put("spanId", span.getSpanId());
        fields.put("parentId", span.getParentSpanId());
        fields.put("kind", span.getKind().name());
        fields.put("startEpochMicros", TimeUnit.NANOSECONDS.toMicros(span.getStartEpochNanos()));
        fields.put(
                "durationMicros", TimeUnit.NANOSECONDS.toMicros(span.getEndEpochNanos() - span.getStartEpochNanos()));
        fields.put("error", span.getStatus().getStatusCode().name().equals("ERROR"));
        Map<String, Object> attributes = new TreeMap<>();
        span.getAttributes().forEach((key, value) -> attributes.put(key.getKey(), value));
        fields.put("attributes", attributes);
        return fields;
    }

    @Override
    public CompletableResultCode flush() {
        return CompletableResultCode.ofSuccess();
    }

    @Override
    public CompletableResultCode shutdown() {
        return CompletableResultCode.ofSuccess();
    }
}
