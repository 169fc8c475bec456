package io.jaywick.node.relay;

import java.util.EnumMap;
import java.util.Map;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.netty.handler.codec.http.HttpResponse;

/** Counts and logs what the local target sends that is not the response to the call in flight on the connection. */
final class UnmatchedResponses {

    /** What was received instead. */
    enum Kind {
        /** A response with the id of another request, for example a second copy of an earlier response. */
        OTHER_REQUEST("other-request"),
        /** A response without a request id. */
        NO_REQUEST_ID("no-request-id"),
        /** Bytes after a complete response, or while no call is in flight. */
        SURPLUS("surplus");

        private final String label;

        Kind(String label) {
            this.label = label;
        }
    }

    private final Map<Kind, Counter> counters = new EnumMap<>(Kind.class);
    private final RelayLog log;

    UnmatchedResponses(MeterRegistry registry, RelayLog log) {
        this.log = log;
        for (Kind kind : Kind.values()) {
            counters.put(kind, registry.counter("jaywick.target.unmatched", "kind", kind.label));
        }
    }

    /**
     * Records a response that is not used.
     *
     * @param requestId id of the call in flight
     * @param responseId request id in the response, or null
     */
    void recordResponse(String requestId, String responseId, HttpResponse response) {
        Kind kind = responseId == null ? Kind.NO_REQUEST_ID : Kind.OTHER_REQUEST;
        counters.get(kind).increment();
        log.callEvent(
                "target sent a response to another request",
                "kind",
                kind.label,
                "requestId",
                requestId,
                "responseId",
                String.valueOf(responseId),
                "status",
                response.status().code());
    }

    /**
     * Records bytes outside the exchange of a call.
     *
     * @param requestId id of the last call of the connection
     */
    void recordSurplus(String requestId) {
        counters.get(Kind.SURPLUS).increment();
        log.callEvent("target sent bytes after a response", "kind", Kind.SURPLUS.label, "requestId", requestId);
    }
}
