package io.jaywick.node.source;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeoutException;

import io.jaywick.node.http.ExchangeCodec;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaders;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

/**
 * Sends GET requests to the platform, with a limit on the response body and a timeout of the whole exchange.
 *
 * <p>The automatic retry of the HTTP library on a lost connection is disabled, because each request counts towards the
 * budget of source calls.
 */
final class SourceHttpClient implements AutoCloseable {

    static final int MAX_BODY_BYTES = 1_048_576;

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    /** One pending watch and one read. */
    private static final int MAX_CONNECTIONS = 2;

    private static final int OK = 200;
    private static final int NOT_MODIFIED = 304;

    private final InetSocketAddress address;
    private final Scheduler timer;
    private final ConnectionProvider connections;
    private final HttpClient client;

    SourceHttpClient(InetSocketAddress address, Scheduler timer) {
        this.address = address;
        this.timer = timer;
        this.connections = ConnectionProvider.create("jaywick-source", MAX_CONNECTIONS);
        this.client = HttpClient.create(connections)
                .remoteAddress(() -> address)
                .disableRetry(true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .doOnChannelInit(ExchangeCodec::install);
    }

    /** A complete response with status 200. */
    record Response(HttpHeaders headers, byte[] body) {}

    /** Returns the response; empty for status 304; fails with a {@link SourceException}. */
    Mono<Response> get(String uri, Duration timeout) {
        return client.get()
                .uri(uri)
                .response(this::collectResponse)
                .singleOrEmpty()
                .timeout(timeout, timer)
                .onErrorMap(e -> toSourceException(uri, timeout, e));
    }

    private Mono<Response> collectResponse(HttpClientResponse response, ByteBufFlux body) {
        int status = response.status().code();
        if (status == NOT_MODIFIED) {
            return Mono.empty();
        }
        if (status != OK) {
            return Mono.error(
                    new SourceException(SourceException.Kind.REFUSED, address + " answered with status " + status));
        }
        return body.asByteArray()
                .collect(ByteArrayOutputStream::new, SourceHttpClient::appendBounded)
                .map(bytes -> new Response(response.responseHeaders(), bytes.toByteArray()));
    }

    private static void appendBounded(ByteArrayOutputStream bytes, byte[] chunk) {
        if (bytes.size() + chunk.length > MAX_BODY_BYTES) {
            throw new SourceException(SourceException.Kind.TOO_LARGE, "the body exceeds " + MAX_BODY_BYTES + " bytes");
        }
        bytes.writeBytes(chunk);
    }

    private Throwable toSourceException(String uri, Duration timeout, Throwable failure) {
        if (failure instanceof SourceException) {
            return failure;
        }
        String request = "GET " + uri + " at " + address;
        if (failure instanceof TimeoutException) {
            return new SourceException(
                    SourceException.Kind.TIMEOUT,
                    request + ": no complete response within " + timeout.toMillis() + " ms",
                    failure);
        }
        return new SourceException(SourceException.Kind.UNREACHABLE, request + ": " + failure, failure);
    }

    @Override
    public void close() {
        connections.dispose();
    }
}
