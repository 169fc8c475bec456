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

    private final Pool sharedPool;

    private record Pool(ConnectionProvider connections, HttpClient baseClient, Map<String, HttpClient> clients) {}

    UpstreamClient(String name, int connectionsPerAddress) {
        this.name = name;
        this.connectionsPerAddress = connectionsPerAddress;
        this.sharedPool = createPool();
    }

    private Pool createPool() {
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
     * {@link ConnectionLostException} or {@link ResponseTruncatedException} otherwise; cancelling closes the connection.
     *
     * @param onDispatch is told directly before the first byte
     * @param handler consumes the answer; its result must not need the connection
     */
    <T> Mono<T> exchange(
            String address,
            HttpMethod method,
            String uri,
            Consumer<HttpHeaders> headers,
            RequestBody body,
            Runnable onDispatch,
            BiFunction<HttpClientResponse, ByteBufFlux, Mono<T>> handler) {
        Progress progress = new Progress();
        return clientFor(address)
                .request(method)
                .uri(uri)
                .send((request, outbound) -> {
                    headers.accept(request.requestHeaders());
                    onDispatch.run();
                    progress.requestStarted = true;
                    return body.send(outbound);
                })
                .response((response, content) -> {
                    progress.responseStarted = true;
                    return handler.apply(response, content);
                })
                .next()
                .onErrorMap(Exception.class, cause -> toProxyException(cause, address, progress));
    }

    @Override
    public void close() {
        sharedPool.connections().dispose();
        for (Pool pool : pools.values()) {
            pool.connections().dispose();
        }
    }

    private static final class Progress {
        volatile boolean requestStarted;
        volatile boolean responseStarted;
    }

    private static Throwable toProxyException(Exception cause, String address, Progress progress) {
        if (cause instanceof ProxyException) {
            return cause;
        }
        if (!progress.requestStarted) {
            return new ConnectFailedException("no connection to " + address, cause);
        }
        return progress.responseStarted
                ? new ResponseTruncatedException("the answer of " + address + " ended early", cause)
                : new ConnectionLostException("connection to " + address + " lost", cause);
    }

    private HttpClient clientFor(String address) {
        Thread thread = Thread.currentThread();
        // Reactor Netty marks the threads of its event loops as non-blocking Netty threads.
        Pool pool = thread instanceof FastThreadLocalThread && thread instanceof NonBlocking
                ? pools.computeIfAbsent(thread, loop -> createPool())
                : sharedPool;
        HttpClient client = pool.clients().get(address);
        if (client != null) {
            return client;
        }
        if (pool.clients().size() >= MAX_CLIENTS) {
            pool.clients().clear();
        }
        return pool.clients().computeIfAbsent(address, text -> {
            InetSocketAddress remote = AddressParser.parse(text);
            return pool.baseClient().remoteAddress(() -> remote);
        });
    }
}
