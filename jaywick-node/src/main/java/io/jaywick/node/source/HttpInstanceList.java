package io.jaywick.node.source;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.jaywick.node.settings.SocketAddressParser;
import reactor.core.scheduler.Scheduler;

/** Client of the instance list: a JSON array of objects with the fields of {@link InstanceEntry}. */
public final class HttpInstanceList implements InstanceList, AutoCloseable {

    private static final String URI = "/v1/instances";
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final ObjectMapper JSON = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private final SourceHttpClient client;

    /** Creates a client whose timeouts run on the given timer. */
    public HttpInstanceList(InetSocketAddress address, Scheduler timer) {
        this.client = new SourceHttpClient(address, timer);
    }

    @Override
    public CompletableFuture<List<InstanceEntry>> list() {
        return client.get(URI, TIMEOUT).map(response -> parse(response.body())).toFuture();
    }

    /**
     * Parses the list. Skips entries without a server name or with an invalid address or state, so that one invalid
     * entry does not hide the others.
     */
    static List<InstanceEntry> parse(byte[] body) {
        try {
            JsonNode array = JSON.readTree(body);
            if (array == null || !array.isArray()) {
                throw new SourceException(SourceException.Kind.MALFORMED, "the instance list is not a JSON array");
            }
            List<InstanceEntry> entries = new ArrayList<>();
            for (JsonNode node : array) {
                InstanceEntry entry = parseEntry(node);
                if (entry != null) {
                    entries.add(entry);
                }
            }
            return List.copyOf(entries);
        } catch (IOException e) {
            throw new SourceException(SourceException.Kind.MALFORMED, "the instance list is not valid JSON", e);
        }
    }

    private static InstanceEntry parseEntry(JsonNode node) {
        InstanceState state =
                switch (node.path("state").asText()) {
                    case "live" -> InstanceState.LIVE;
                    case "leaving" -> InstanceState.LEAVING;
                    default -> null;
                };
        InstanceEntry entry = new InstanceEntry(
                node.path("server").asText(),
                node.path("dataCentre").asText(),
                node.path("region").asText(),
                node.path("service").asText(),
                node.path("peerAddress").asText(),
                node.path("ingressAddress").asText(),
                state);
        boolean isUsable = state != null
                && !entry.server().isEmpty()
                && SocketAddressParser.parse(entry.peerAddress()) != null
                && SocketAddressParser.parse(entry.ingressAddress()) != null;
        return isUsable ? entry : null;
    }

    @Override
    public void close() {
        client.close();
    }
}
