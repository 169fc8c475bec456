package io.jaywick.node.relay;

import java.util.List;

import io.netty.handler.codec.http.HttpHeaders;

/** A completely received request of a local caller. */
record ClientRequest(String method, String uri, HttpHeaders headers, byte[] body, long receivedNanos) {

    private static final long MAX_HEADER_MILLIS = 86_400_000;

    String host() {
        return headers.get("Host");
    }

    /**
     * Returns a header with a duration in milliseconds, limited to one day; {@code defaultMillis} when it is absent or
     * not a number.
     */
    long headerMillis(String name, long defaultMillis) {
        List<String> values = headers.getAll(name);
        if (values.isEmpty()) {
            return defaultMillis;
        }
        try {
            return Math.max(
                    0, Math.min(MAX_HEADER_MILLIS, Long.parseLong(values.get(0).trim())));
        } catch (NumberFormatException e) {
            return defaultMillis;
        }
    }
}
