package io.jaywick.node.proxy;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiFunction;
import java.util.function.Consumer;

import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.FastThreadLocalThread;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.NonBlocking;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

/** Keep-alive connections to nodes or to the target. It never sends a request again by itself. */
final class UpstreamClient implements AutoCloseable {

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    /** Shorter than the keep-alive time of common servers, which would otherwise close a connection under a request. */
    private static final Duration MAX_IDLE = Duration.ofSeconds(4);

    private static final Duration ACQUIRE_TIMEOUT = Duration.ofSeconds(2);
    /** Addresses come from the membership view, which may be wrong; old ones are dropped all at once. */
    private static final int MAX_CLIENTS = 8_192;

    private final String name;
    private final int connectionsPerAddress;
    /**
     * One pool for each event loop: a connection of another loop would cost two thread switches per exchange, which
     * measured as more than half of the added latency.
     */
    private final Map<Thread, Pool> pools = new ConcurrentHashMap<>();

    private final Pool shared;

    private record Pool(ConnectionProvider connections, HttpClient base, Map<String, HttpClient> clients) {}

    UpstreamClient(String name, int connectionsPerAddress) {
        this.name = name;
        this.connectionsPerAddress = connectionsPerAddress;
        this.shared = pool();
    }

    private Pool pool() {
        ConnectionProvider connections = ConnectionProvider.builder(name)
                .maxConnections(connectionsPerAddress)
                .pendingAcquireMaxCount(10 * connectionsPerAddress)
                .pendingAcquireTimeout(ACQUIRE_TIMEOUT)
                .maxIdleTime(MAX_IDLE)
                .lifo()
                .build();
        HttpClient base = HttpClient.create(connections)
                .disableRetry(true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true);
        return new Pool(connections, base, new ConcurrentHashMap<>());
    }

    /**
     * Sends one request. Fails with {@link ConnectFailedException} when no byte left and with
     * {@link ConnectionLostException} or {@link AnswerCutException} otherwise; cancelling closes the connection.
     *
     * @param dispatched is told directly before the first byte
     * @param handler consumes the answer; its result must not need the connection
     */
    <T> Mono<T> exchange(
            String address,
            HttpMethod method,
            String uri,
            Consumer<HttpHeaders> headers,
            RequestBody body,
            Runnable dispatched,
            BiFunction<HttpClientResponse, ByteBufFlux, Mono<T>> handler) {
        Progress progress = new Progress();
        return client(address)
                .request(method)
                .uri(uri)
                .send((request, outbound) -> {
                    headers.accept(request.requestHeaders());
                    dispatched.run();
                    progress.sent = true;
                    return body.send(outbound);
                })
                .response((response, content) -> {
                    progress.answering = true;
                    return handler.apply(response, content);
                })
                .next()
                .onErrorMap(Exception.class, cause -> typed(cause, address, progress));
    }

    @Override
    public void close() {
        shared.connections().dispose();
        for (Pool pool : pools.values()) {
            pool.connections().dispose();
        }
    }

    private static final class Progress {
        volatile boolean sent;
        volatile boolean answering;
    }

    private static Throwable typed(Exception cause, String address, Progress progress) {
        if (cause instanceof ProxyException) {
            return cause;
        }
        if (!progress.sent) {
            return new ConnectFailedException("no connection to " + address, cause);
        }
        return progress.answering
                ? new AnswerCutException("the answer of " + address + " ended early", cause)
                : new ConnectionLostException("connection to " + address + " lost", cause);
    }

    private HttpClient client(String address) {
        Thread thread = Thread.currentThread();
        // Reactor Netty marks the threads of its event loops as non-blocking Netty threads.
        Pool pool = thread instanceof FastThreadLocalThread && thread instanceof NonBlocking
                ? pools.computeIfAbsent(thread, loop -> pool())
                : shared;
        HttpClient found = pool.clients().get(address);
        if (found != null) {
            return found;
        }
        if (pool.clients().size() >= MAX_CLIENTS) {
            pool.clients().clear();
        }
        return pool.clients().computeIfAbsent(address, text -> {
            InetSocketAddress remote = Addresses.parse(text);
            return pool.base().remoteAddress(() -> remote);
        });
    }
}
