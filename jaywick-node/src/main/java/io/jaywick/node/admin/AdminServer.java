package io.jaywick.node.admin;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.Callable;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jaywick.node.log.LogField;
import io.netty.handler.codec.http.HttpMethod;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * The admin port: {@code GET /health}, {@code /ready}, {@code /status}, {@code /fleet}, {@code /metrics} and
 * {@code /record}. It is read-only; other methods are answered with 405.
 */
public final class AdminServer implements AutoCloseable {

    private static final System.Logger LOGGER = System.getLogger(AdminServer.class.getName());
    private static final ObjectMapper JSON = new ObjectMapper();

    private static final String JSON_TYPE = "application/json";
    private static final String METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8";
    private static final String LINES_TYPE = "application/x-ndjson";

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int INTERNAL_ERROR = 500;
    private static final int UNAVAILABLE = 503;

    /** Closes connections left open by disconnected scrapers. */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

    private final AdminViews views;
    private final DisposableServer server;

    /** Starts to listen; port 0 selects any free port. */
    public AdminServer(InetSocketAddress address, AdminViews views) {
        this.views = views;
        this.server = HttpServer.create()
                .bindAddress(() -> address)
                .idleTimeout(IDLE_TIMEOUT)
                .handle(this::handle)
                .bindNow();
    }

    /** Returns the address on which the server listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) server.address();
    }

    private record AdminResponse(int status, String type, String body) {}

    private Mono<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        return respond(request)
                .onErrorResume(e -> {
                    LOGGER.log(
                            System.Logger.Level.WARNING,
                            "admin request failed",
                            e,
                            LogField.of("path", request.fullPath()));
                    return Mono.just(jsonResponse(INTERNAL_ERROR, Map.of("error", String.valueOf(e.getMessage()))));
                })
                .flatMap(adminResponse -> response.status(adminResponse.status())
                        .header("content-type", adminResponse.type())
                        .sendByteArray(Mono.just(adminResponse.body().getBytes(StandardCharsets.UTF_8)))
                        .then());
    }

    private Mono<AdminResponse> respond(HttpServerRequest request) {
        if (!request.method().equals(HttpMethod.GET)) {
            return Mono.just(jsonResponse(METHOD_NOT_ALLOWED, Map.of("error", "only GET is allowed")));
        }
        return switch (request.fullPath()) {
            case "/health" -> responseOf(
                    () -> flagResponse("healthy", views.healthy().getAsBoolean()));
            case "/ready" -> responseOf(
                    () -> flagResponse("ready", views.ready().getAsBoolean()));
            case "/status" -> responseOf(() -> jsonResponse(OK, views.status().get()));
            case "/fleet" -> Mono.defer(() -> Mono.fromFuture(views.fleet().get()))
                    .map(fleet -> jsonResponse(OK, fleet));
            case "/metrics" -> responseOf(
                    () -> new AdminResponse(OK, METRICS_TYPE, views.metrics().get()));
            case "/record" -> responseOf(() -> new AdminResponse(OK, LINES_TYPE, recordText()));
            default -> Mono.just(jsonResponse(
                    NOT_FOUND,
                    Map.of("error", "unknown path; there are /health /ready /status /fleet /metrics /record")));
        };
    }

    private static Mono<AdminResponse> responseOf(Callable<AdminResponse> response) {
        return Mono.fromCallable(response);
    }

    private String recordText() {
        StringBuilder text = new StringBuilder();
        for (String line : views.recordLines().get()) {
            text.append(line).append('\n');
        }
        return text.toString();
    }

    private static AdminResponse flagResponse(String name, boolean value) {
        return jsonResponse(value ? OK : UNAVAILABLE, Map.of(name, value));
    }

    private static AdminResponse jsonResponse(int status, Object value) {
        try {
            return new AdminResponse(status, JSON_TYPE, JSON.writeValueAsString(value));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("response cannot be serialized as JSON", e);
        }
    }

    @Override
    public void close() {
        server.disposeNow();
    }
}
