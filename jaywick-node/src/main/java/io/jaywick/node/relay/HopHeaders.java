package io.jaywick.node.relay;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/** Copies headers from one hop to the next without those that concern one connection only (RFC 9110, section 7.6.1). */
final class HopHeaders {

    private static final Set<String> ONE_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect");

    private HopHeaders() {}

    /** Returns names and values in turn, without the given names. */
    static List<String> copy(HttpHeaders headers, Set<String> without) {
        Set<String> named = new HashSet<>();
        for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String token : value.split(",")) {
                named.add(token.trim().toLowerCase(Locale.ROOT));
            }
        }
        List<String> copy = new ArrayList<>(2 * headers.size());
        for (Map.Entry<String, String> header : headers) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (!ONE_HOP.contains(name) && !named.contains(name) && !without.contains(name)) {
                copy.add(header.getKey());
                copy.add(header.getValue());
            }
        }
        return copy;
    }

    static void addTo(HttpHeaders headers, List<String> copy) {
        for (int i = 0; i + 1 < copy.size(); i += 2) {
            headers.add(copy.get(i), copy.get(i + 1));
        }
    }
}
