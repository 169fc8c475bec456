package io.jaywick.node.relay;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/** Copies headers from one hop to the next without the hop-by-hop ones (RFC 9110, section 7.6.1). */
final class HopHeaders {

    private static final Set<String> HOP_BY_HOP = Set.of(
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

    /**
     * Returns alternating names and values without the hop-by-hop headers and the excluded names, which are in lower
     * case.
     */
    static List<String> copy(HttpHeaders headers, Set<String> excluded) {
        Set<String> connectionOptions = new HashSet<>();
        for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String token : value.split(",")) {
                connectionOptions.add(token.trim().toLowerCase(Locale.ROOT));
            }
        }
        List<String> copy = new ArrayList<>(2 * headers.size());
        for (Map.Entry<String, String> header : headers) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(name) && !connectionOptions.contains(name) && !excluded.contains(name)) {
                copy.add(header.getKey());
                copy.add(header.getValue());
            }
        }
        return copy;
    }

    /** Returns the value of the first header with a name, which is not case-sensitive, or null. */
    static String find(List<String> namesAndValues, String name) {
        for (int i = 0; i + 1 < namesAndValues.size(); i += 2) {
            if (namesAndValues.get(i).equalsIgnoreCase(name)) {
                return namesAndValues.get(i + 1);
            }
        }
        return null;
    }

    static void addTo(HttpHeaders headers, List<String> namesAndValues) {
        for (int i = 0; i + 1 < namesAndValues.size(); i += 2) {
            headers.add(namesAndValues.get(i), namesAndValues.get(i + 1));
        }
    }
}
