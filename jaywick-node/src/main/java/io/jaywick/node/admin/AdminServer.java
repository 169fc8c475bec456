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
 * {@code /record}. Nothing can be changed through it; other methods are answered with 405.
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

    /** Connections of scrapers that went away are closed after this time. */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

    private final AdminViews views;
    private final DisposableServer server;

    /** Starts to listen; port 0 takes a free port. */
    public AdminServer(InetSocketAddress address, AdminViews views) {
        this.views = views;
        this.server = HttpServer.create()
                .bindAddress(() -> address)
                .idleTimeout(IDLE_TIMEOUT)
                .handle(this::handle)
                .bindNow();
    }

    /** Address on which the server listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) server.address();
    }

    private record Answer(int status, String type, String body) {}

    private Mono<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        return answer(request)
                .onErrorResume(e -> {
                    LOGGER.log(
                            System.Logger.Level.WARNING,
                            "an admin request failed",
                            e,
                            LogField.of("path", request.fullPath()));
                    return Mono.just(json(INTERNAL_ERROR, Map.of("error", String.valueOf(e.getMessage()))));
                })
                .flatMap(answer -> response.status(answer.status())
                        .header("content-type", answer.type())
                        .sendByteArray(Mono.just(answer.body().getBytes(StandardCharsets.UTF_8)))
                        .then());
    }

    private Mono<Answer> answer(HttpServerRequest request) {
        if (!request.method().equals(HttpMethod.GET)) {
            return Mono.just(json(METHOD_NOT_ALLOWED, Map.of("error", "only GET is allowed")));
        }
        return switch (request.fullPath()) {
            case "/health" -> of(() -> flag("healthy", views.healthy().getAsBoolean()));
            case "/ready" -> of(() -> flag("ready", views.ready().getAsBoolean()));
            case "/status" -> of(() -> json(OK, views.status().get()));
            case "/fleet" -> Mono.defer(() -> Mono.fromFuture(views.fleet().get()))
                    .map(fleet -> json(OK, fleet));
            case "/metrics" -> of(
                    () -> new Answer(OK, METRICS_TYPE, views.metrics().get()));
            case "/record" -> of(() -> new Answer(OK, LINES_TYPE, lines()));
            default -> Mono.just(json(
                    NOT_FOUND,
                    Map.of("error", "unknown path; there are /health /ready /status /fleet /metrics /record")));
        };
    }

    private static Mono<Answer> of(Callable<Answer> answer) {
        return Mono.fromCallable(answer);
    }

    private String lines() {
        StringBuilder text = new StringBuilder();
        for (String line : views.recordLines().get()) {
            text.append(line).append('\n');
        }
        return text.toString();
    }

    private static Answer flag(String name, boolean value) {
        return json(value ? OK : UNAVAILABLE, Map.of(name, value));
    }

    private static Answer json(int status, Object value) {
        try {
            return new Answer(status, JSON_TYPE, JSON.writeValueAsString(value));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("records of text and numbers can be written as JSON", e);
        }
    }

    @Override
    public void close() {
        server.disposeNow();
    }
}
