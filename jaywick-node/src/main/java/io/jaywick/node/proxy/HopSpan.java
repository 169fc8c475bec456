package io.jaywick.node.proxy;

import io.micrometer.tracing.Span;
import io.micrometer.tracing.TraceContext;
import io.micrometer.tracing.Tracer;

/** Span of one hop, linked to the span of the caller by the W3C header {@code traceparent}. */
final class HopSpan {

    private static final int TRACE_PARENT_LENGTH = 55;
    private static final int TRACE_ID_START = 3;
    private static final int TRACE_ID_END = 35;
    private static final int SPAN_ID_START = 36;
    private static final int SPAN_ID_END = 52;

    private final Span span;
    private final String receivedTraceParent;

    private HopSpan(Span span, String received) {
        this.span = span;
        this.receivedTraceParent = received;
    }

    static HopSpan start(Tracer tracer, String name, Span.Kind kind, String traceParent) {
        boolean isValid = isValid(traceParent);
        Span.Builder builder = tracer.spanBuilder().name(name).kind(kind);
        if (isValid) {
            TraceContext parent = tracer.traceContextBuilder()
                    .traceId(traceParent.substring(TRACE_ID_START, TRACE_ID_END))
                    .spanId(traceParent.substring(SPAN_ID_START, SPAN_ID_END))
                    .sampled((Character.digit(traceParent.charAt(TRACE_PARENT_LENGTH - 1), 16) & 1) == 1)
                    .build();
            builder.setParent(parent);
        } else {
            builder.setNoParent();
        }
        return new HopSpan(builder.start(), isValid ? traceParent : null);
    }

    void tag(String key, String value) {
        span.tag(key, value);
    }

    void end() {
        span.end();
    }

    /**
     * Returns the header value for the next hop: this span, or the received value if this node records no spans, or
     * null if there is neither.
     */
    String traceParent() {
        TraceContext context = span.context();
        if (context.traceId() == null || context.traceId().length() != TRACE_ID_END - TRACE_ID_START) {
            return receivedTraceParent;
        }
        boolean sampled = Boolean.TRUE.equals(context.sampled());
        return "00-" + context.traceId() + "-" + context.spanId() + (sampled ? "-01" : "-00");
    }

    private static boolean isValid(String value) {
        if (value == null || value.length() != TRACE_PARENT_LENGTH || !value.startsWith("00-")) {
            return false;
        }
        boolean hasTraceId = false;
        boolean hasSpanId = false;
        for (int i = TRACE_ID_START; i < TRACE_PARENT_LENGTH; i++) {
            char c = value.charAt(i);
            if (i == TRACE_ID_END || i == SPAN_ID_END) {
                if (c != '-') {
                    return false;
                }
            } else if (!(c >= '0' && c <= '9' || c >= 'a' && c <= 'f')) {
                return false;
            } else if (c != '0') {
                hasTraceId |= i < TRACE_ID_END;
                hasSpanId |= i >= SPAN_ID_START && i < SPAN_ID_END;
            }
        }
        return hasTraceId && hasSpanId;
    }
}
