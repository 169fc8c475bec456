package io.jaywick.standin.target;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

import io.netty.channel.Channel;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.GlobalEventExecutor;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.ChannelBindException;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Stand-in target over HTTP. It answers with its name, the id of the request and the request's body. The id comes from
 * the header {@code standin-request}, so that repeated sends of one request count as runs of the same request.
 */
public final class TargetServer implements AutoCloseable {

    /** Header with the id under which the model counts the runs of a request. */
    public static final String REQUEST_ID_HEADER = "standin-request";
    /** Header that overrides the service time of one request, in milliseconds. */
    public static final String DELAY_MILLIS_HEADER = "standin-delay-millis";
    /** Header that makes the target close the connection halfway through the answer. */
    public static final String TRUNCATE_HEADER = "standin-cut";
    /** Header with the size in bytes of an answer of zeros, which is sent in chunks without a content length. */
    public static final String STREAM_BYTES_HEADER = "standin-stream-bytes";

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int CHUNK_BYTES = 8_192;
    private static final long BIND_RETRY_MILLIS = 20;

    /** Calls that the target makes before it answers a request. */
    @FunctionalInterface
    public interface NestedCalls {

        /**
         * Makes the calls.
         *
         * @param headers headers of the request
         * @return the status of the answer
         */
        Mono<Integer> call(HttpHeaders headers);
    }

    private final String name;
    private final TargetModel model;
    private final Scheduler timers;
    private final NestedCalls nestedCalls;
    private volatile Listener listener;
    private volatile boolean closed;

    private record Listener(DisposableServer server, ChannelGroup channels) {}

    /**
     * Starts the target on a free port of the loopback address.
     *
     * @param nested calls before each answer, or null
     */
    public TargetServer(String name, TargetModel model, Scheduler timers, NestedCalls nested) {
        this.name = name;
        this.model = model;
        this.timers = timers;
        this.nestedCalls = nested;
        this.listener = start(0);
    }

    /** Returns the address of the listener as HOST:PORT. It stays the same after a crash. */
    public String address() {
        return "127.0.0.1:" + listener.server().port();
    }

    public TargetModel model() {
        return model;
    }

    /** Crashes: closes all connections and accepts new ones, cold, after the restart time. */
    public void crash() {
        model.crash();
        restart();
    }

    @Override
    public void close() {
        closed = true;
        stop();
    }

    private Listener start(int port) {
        ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
        DisposableServer server = HttpServer.create()
                .bindAddress(() -> new InetSocketAddress("127.0.0.1", port))
                .doOnConnection(connection -> channels.add(connection.channel()))
                .handle(this::handle)
                .bindNow();
        return new Listener(server, channels);
    }

    private void restart() {
        int port = listener.server().port();
        stop();
        scheduleBind(port, model.behaviour().restartMillis());
    }

    /**
     * Schedules the bind of the listener. Binding blocks, which the timer threads must not do. A port that is still in
     * use is retried.
     */
    private void scheduleBind(int port, long delayMillis) {
        Schedulers.boundedElastic()
                .schedule(
                        () -> {
                            if (closed) {
                                return;
                            }
                            try {
                                listener = start(port);
                            } catch (ChannelBindException e) {
                                scheduleBind(port, BIND_RETRY_MILLIS);
                            }
                        },
                        delayMillis,
                        TimeUnit.MILLISECONDS);
    }

    private void stop() {
        Listener stopped = listener;
        stopped.server().dispose();
        stopped.channels().close();
    }

    private Mono<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        HttpHeaders headers = request.requestHeaders();
        if (request.uri().equals("/jaywick/state")) {
            return response.sendString(Mono.just(model.isDraining() ? "draining" : "serving"))
                    .then();
        }
        String id = headers.get(REQUEST_ID_HEADER, "");
        switch (model.recordArrival(id)) {
            case SHED:
                return response.status(UNAVAILABLE).send();
            case CRASH:
                restart();
                return Mono.never();
            default:
                break;
        }
        int crashes = model.crashCount();
        AtomicBoolean ended = new AtomicBoolean();
        return request.receive()
                .aggregate()
                .asString()
                .defaultIfEmpty("")
                .flatMap(body -> work(headers).flatMap(status -> {
                    // The slot must be free before the node receives the first byte of the answer and sends the next
                    // call.
                    ended.set(true);
                    model.recordEnd(crashes, !headers.contains(TRUNCATE_HEADER));
                    return answer(headers, response, status, id, body);
                }))
                .doFinally(signal -> {
                    if (!ended.get()) {
                        model.recordEnd(crashes, false);
                    }
                });
    }

    private Mono<Integer> work(HttpHeaders headers) {
        long millis = headers.contains(DELAY_MILLIS_HEADER)
                ? Long.parseLong(headers.get(DELAY_MILLIS_HEADER))
                : model.serviceMillis();
        Mono<Integer> waited = millis == 0
                ? Mono.just(OK)
                : Mono.delay(Duration.ofMillis(millis), timers).thenReturn(OK);
        return nestedCalls == null ? waited : waited.then(nestedCalls.call(headers));
    }

    private Mono<Void> answer(HttpHeaders headers, HttpServerResponse response, int status, String id, String body) {
        String text = name + " " + id + " " + body;
        response.status(status);
        if (headers.contains(TRUNCATE_HEADER)) {
            response.header("content-length", Integer.toString(2 * text.length()));
            AtomicReference<Channel> channel = new AtomicReference<>();
            response.withConnection(connection -> channel.set(connection.channel()));
            return response.sendString(Flux.just(text))
                    .then(Mono.<Void>fromRunnable(() -> channel.get().close()))
                    .then();
        }
        if (headers.contains(STREAM_BYTES_HEADER)) {
            int bytes = Integer.parseInt(headers.get(STREAM_BYTES_HEADER));
            return response.sendByteArray(Flux.range(0, (bytes + CHUNK_BYTES - 1) / CHUNK_BYTES)
                            .map(part -> new byte[Math.min(CHUNK_BYTES, bytes - part * CHUNK_BYTES)]))
                    .then();
        }
        return response.sendString(Mono.just(text)).then();
    }
}
