package io.jaywick.cli.bench;

import java.time.Duration;

import io.jaywick.standin.target.TargetServer;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufMono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

/** The HTTP client of the benchmark's callers. */
final class BenchCaller implements AutoCloseable {

    private static final int MAX_CONNECTIONS = 500;
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final String[] INHERITED_HEADERS = {"jaywick-call-id", "jaywick-depth", "jaywick-deadline-millis"};

    record Reply(int status, HttpHeaders headers) {}

    private final ConnectionProvider connections = ConnectionProvider.builder("bench")
            .maxConnections(MAX_CONNECTIONS)
            .pendingAcquireMaxCount(-1)
            .lifo()
            .build();
    private final HttpClient client = HttpClient.create(connections).disableRetry(true);

    /**
     * Sends a GET request. The result is an error if the connection fails or no reply arrives within {@link #TIMEOUT}.
     *
     * @param idempotencyKey idempotency key, or null
     * @param inheritedHeaders headers of the request for which the call is made, or null; those in
     *     {@link #INHERITED_HEADERS} are copied
     */
    Mono<Reply> send(String url, String requestId, String idempotencyKey, HttpHeaders inheritedHeaders) {
        return client.request(HttpMethod.GET)
                .uri(url)
                .send((out, outbound) -> {
                    HttpHeaders headers = out.requestHeaders();
                    headers.set("jaywick-party", CallsScenario.PARTY);
                    headers.set(TargetServer.REQUEST_ID_HEADER, requestId);
                    if (idempotencyKey != null) {
                        headers.set("idempotency-key", idempotencyKey);
                    }
                    for (String name : INHERITED_HEADERS) {
                        if (inheritedHeaders != null && inheritedHeaders.contains(name)) {
                            headers.set(name, inheritedHeaders.get(name));
                        }
                    }
                    return outbound;
                })
                .responseSingle(BenchCaller::toReply)
                .timeout(TIMEOUT);
    }

    @Override
    public void close() {
        connections.dispose();
    }

    private static Mono<Reply> toReply(HttpClientResponse response, ByteBufMono body) {
        return body.then(Mono.fromSupplier(() -> new Reply(response.status().code(), response.responseHeaders())));
    }
}
