package io.jaywick.node.proxy;

import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.jaywick.core.record.CallOutcome;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Forwarding of HTTP messages by the proxy: its own status codes, the headers that it copies, and the length of bodies.
 */
final class HttpForwarding {

    static final int STATUS_UNAVAILABLE = 503;
    static final int STATUS_BAD_GATEWAY = 502;
    static final int STATUS_GATEWAY_TIMEOUT = 504;

    /** Hop-by-hop headers of RFC 9110, section 7.6.1, and the host, which the client sets. */
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "upgrade",
            "host");

    /** Headers that only the proxy sets, so that neither caller nor target can forge them. */
    private static final Set<String> SET_BY_PROXY = Set.of(
            CallHeaders.OUTCOME,
            CallHeaders.REASON,
            CallHeaders.LOAD,
            CallHeaders.CRASHES,
            CallHeaders.RETRIED,
            CallHeaders.ATTEMPT,
            CallHeaders.HASH);

    private HttpForwarding() {}

    static void copyHeaders(HttpHeaders from, HttpHeaders to) {
        for (Map.Entry<String, String> header : from) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(name) && !SET_BY_PROXY.contains(name)) {
                to.add(header.getKey(), header.getValue());
            }
        }
    }

    /**
     * Returns the declared length, -1 for a chunked body, or -2 if there is no valid length and the body ends with the
     * connection.
     */
    static long bodyLength(HttpHeaders headers) {
        if (headers.contains(HttpHeaderNames.TRANSFER_ENCODING)) {
            return -1;
        }
        String value = headers.get(HttpHeaderNames.CONTENT_LENGTH);
        if (value == null) {
            return -2;
        }
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            return -2;
        }
    }

    static boolean hasNoBody(String method, int status) {
        return method.equals("HEAD") || status == 204 || status == 304;
    }

    static CallOutcome readOutcome(HttpHeaders headers) {
        String value = headers.get(CallHeaders.OUTCOME);
        for (CallOutcome outcome : CallOutcome.values()) {
            if (outcome.headerValue().equals(value)) {
                return outcome;
            }
        }
        return null;
    }
}
