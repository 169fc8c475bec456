package io.jaywick.node.proxy;

import io.micrometer.tracing.Span;
import io.micrometer.tracing.TraceContext;
import io.micrometer.tracing.Tracer;

/** Span of one hop, linked to the caller's span by the W3C header {@code traceparent}. */
final class HopSpan {

    private static final int HEADER_CHARS = 55;
    private static final int TRACE_START = 3;
    private static final int TRACE_END = 35;
    private static final int SPAN_START = 36;
    private static final int SPAN_END = 52;

    private final Span span;
    private final String received;

    private HopSpan(Span span, String received) {
        this.span = span;
        this.received = received;
    }

    static HopSpan start(Tracer tracer, String name, Span.Kind kind, String traceParent) {
        boolean valid = isValid(traceParent);
        Span.Builder builder = tracer.spanBuilder().name(name).kind(kind);
        if (valid) {
            TraceContext parent = tracer.traceContextBuilder()
                    .traceId(traceParent.substring(TRACE_START, TRACE_END))
                    .spanId(traceParent.substring(SPAN_START, SPAN_END))
                    .sampled((Character.digit(traceParent.charAt(HEADER_CHARS - 1), 16) & 1) == 1)
                    .build();
            builder.setParent(parent);
        } else {
            builder.setNoParent();
        }
        return new HopSpan(builder.start(), valid ? traceParent : null);
    }

    void tag(String key, String value) {
        span.tag(key, value);
    }

    void end() {
        span.end();
    }

    /** Value for the next hop: this span, the received one when spans are not recorded here, or null. */
    String traceParent() {
        TraceContext context = span.context();
        if (context.traceId() == null || context.traceId().length() != TRACE_END - TRACE_START) {
            return received;
        }
        boolean sampled = Boolean.TRUE.equals(context.sampled());
        return "00-" + context.traceId() + "-" + context.spanId() + (sampled ? "-01" : "-00");
    }

    private static boolean isValid(String value) {
        if (value == null || value.length() != HEADER_CHARS || !value.startsWith("00-")) {
            return false;
        }
        boolean traceSet = false;
        boolean spanSet = false;
        for (int i = TRACE_START; i < HEADER_CHARS; i++) {
            char c = value.charAt(i);
            if (i == TRACE_END || i == SPAN_END) {
                if (c != '-') {
                    return false;
                }
            } else if (!(c >= '0' && c <= '9' || c >= 'a' && c <= 'f')) {
                return false;
            } else if (c != '0') {
                traceSet |= i < TRACE_END;
                spanSet |= i >= SPAN_START && i < SPAN_END;
            }
        }
        return traceSet && spanSet;
    }
}
