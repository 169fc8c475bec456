package io.jaywick.node.relay;

import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * What a caller is told.
 *
 * @param headers names and values in turn
 * @param retryAfterMillis when the caller may come again; 0 for no statement
 */
record ClientResponse(int status, List<String> headers, byte[] body, long retryAfterMillis) {

    static final int BAD_REQUEST = 400;
    static final int NOT_FOUND = 404;
    static final int REQUEST_TIMEOUT = 408;
    static final int CONTENT_TOO_LARGE = 413;
    static final int HEADERS_TOO_LARGE = 431;
    static final int BAD_GATEWAY = 502;
    static final int SERVICE_UNAVAILABLE = 503;
    static final int GATEWAY_TIMEOUT = 504;

    /** Makes an answer of the node itself; its body names the reason. */
    static ClientResponse generated(int status, String reason, long retryAfterMillis) {
        byte[] body = ("{\"error\":\"" + reason + "\"}\n").getBytes(StandardCharsets.UTF_8);
        return new ClientResponse(status, List.of("Content-Type", "application/json"), body, retryAfterMillis);
    }
}
