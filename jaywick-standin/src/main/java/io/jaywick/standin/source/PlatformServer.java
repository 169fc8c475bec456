package io.jaywick.standin.source;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jaywick.node.source.ConfigSource;
import io.jaywick.node.source.HttpConfigSource;
import io.jaywick.node.source.InstanceEntry;
import io.jaywick.node.source.InstanceList;
import io.jaywick.node.source.SourceValue;
import io.netty.handler.codec.http.QueryStringDecoder;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Serves a configuration service and an instance list over HTTP on a free port of the loopback address. */
public final class PlatformServer implements AutoCloseable {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int NOT_MODIFIED = 304;
    private static final int BAD_REQUEST = 400;
    private static final int UNAVAILABLE = 503;

    private final ConfigSource source;
    private final InstanceList instances;
    private final DisposableServer server;

    public PlatformServer(ConfigSource source, InstanceList instances) {
        this.source = source;
        this.instances = instances;
        this.server = HttpServer.create()
                .host("127.0.0.1")
                .port(0)
                .route(routes -> routes.get("/v1/table", this::handleTable).get("/v1/instances", this::handleInstances))
                .bindNow();
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) server.address();
    }

    private Mono<Void> handleTable(HttpServerRequest request, HttpServerResponse response) {
        List<String> after = new QueryStringDecoder(request.uri()).parameters().getOrDefault("after", List.of());
        CompletableFuture<SourceValue> value;
        if (after.isEmpty()) {
            value = source.read();
        } else if (after.get(0).matches("[0-9]{1,18}")) {
            value = source.watch(Long.parseLong(after.get(0)));
        } else {
            return response.status(BAD_REQUEST).send();
        }
        return Mono.fromFuture(value)
                .flatMap(found -> response.header(HttpConfigSource.REVISION_HEADER, Long.toString(found.revision()))
                        .sendByteArray(Mono.just(found.content()))
                        .then()
                        .thenReturn(true))
                .switchIfEmpty(
                        Mono.defer(() -> response.status(NOT_MODIFIED).send().thenReturn(true)))
                .onErrorResume(e -> response.status(UNAVAILABLE).send().thenReturn(true))
                .then();
    }

    private Mono<Void> handleInstances(HttpServerRequest request, HttpServerResponse response) {
        return Mono.fromFuture(instances.list())
                .flatMap(entries -> response.header("content-type", "application/json")
                        .sendByteArray(Mono.just(json(entries)))
                        .then())
                .onErrorResume(e -> response.status(UNAVAILABLE).send());
    }

    private static byte[] json(List<InstanceEntry> entries) {
        try {
            return JSON.writeValueAsBytes(entries);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("instance entries cannot be written as JSON", e);
        }
    }

    @Override
    public void close() {
        server.disposeNow();
    }
}
