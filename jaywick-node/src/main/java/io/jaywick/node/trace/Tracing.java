package io.jaywick.node.trace;

import java.util.concurrent.TimeUnit;

import io.micrometer.tracing.Tracer;
import io.micrometer.tracing.otel.bridge.OtelCurrentTraceContext;
import io.micrometer.tracing.otel.bridge.OtelPropagator;
import io.micrometer.tracing.otel.bridge.OtelTracer;
import io.micrometer.tracing.propagation.Propagator;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.propagation.ContextPropagators;
import io.opentelemetry.sdk.OpenTelemetrySdk;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import io.opentelemetry.sdk.trace.samplers.Sampler;

/**
 * Tracer of a node, which propagates W3C trace context. Spans are exported in batches outside the call path; a full
 * queue drops spans and does not delay calls.
 */
public final class Tracing implements AutoCloseable {

    private static final String SCOPE = "io.jaywick";
    private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

    private final SdkTracerProvider provider;
    private final Tracer tracer;
    private final Propagator propagator;

    /**
     * Creates a tracer.
     *
     * @param sampleOneIn one in this many traces that start at this node is exported; incoming traces keep the sampling
     *     decision of the caller
     */
    public Tracing(SpanExporter exporter, int sampleOneIn) {
        this.provider = SdkTracerProvider.builder()
                .setSampler(Sampler.parentBased(Sampler.traceIdRatioBased(1.0 / sampleOneIn)))
                .addSpanProcessor(BatchSpanProcessor.builder(exporter).build())
                .build();
        ContextPropagators propagators = ContextPropagators.create(W3CTraceContextPropagator.getInstance());
        OpenTelemetrySdk sdk = OpenTelemetrySdk.builder()
                .setTracerProvider(provider)
                .setPropagators(propagators)
                .build();
        io.opentelemetry.api.trace.Tracer otel = sdk.getTracer(SCOPE);
        this.tracer = new OtelTracer(otel, new OtelCurrentTraceContext(), event -> {});
        this.propagator = new OtelPropagator(propagators, otel);
    }

    public Tracer tracer() {
        return tracer;
    }

    public Propagator propagator() {
        return propagator;
    }

    /** Exports the queued spans and stops. */
    @Override
    public void close() {
        provider.shutdown().join(CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }
}
