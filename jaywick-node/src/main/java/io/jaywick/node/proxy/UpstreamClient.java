package io.jaywick.node.proxy;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiFunction;
import java.util.function.Consumer;

import io.jaywick.node.http.ExchangeCodec;
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

/**
 * HTTP client with keep-alive connections to nodes or to the local target. It never resends a request. A connection on
 * which bytes arrive outside an exchange is closed, but responses have no id: see {@link ExchangeCodec} for the second
 * response that cannot be recognized.
 */
final class UpstreamClient implements AutoCloseable {

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    /**
     * Shorter than the keep-alive time of common servers, which otherwise could close a connection while a request is
     * being sent.
     */
    private static final Duration MAX_IDLE = Duration.ofSeconds(4);

    private static final Duration ACQUIRE_TIMEOUT = Duration.ofSeconds(2);
    /**
     * Limit per pool. Addresses come from the membership view, which may be wrong; at the limit, all clients of the
     * pool are dropped.
     */
    private static final int MAX_CLIENTS = 8_192;

    private final String name;
    private final int connectionsPerAddress;
    /**
     * One pool per event loop. A connection of another event loop would cost two thread switches per exchange, which
     * account for more than half of the added latency.
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
                .option(ChannelOption.TCP_NODELAY, true)
                .doOnChannelInit(ExchangeCodec::install);
        return new Pool(connections, base, new ConcurrentHashMap<>());
    }

    /**
     * Sends one request. Fails with {@link ConnectFailedException} if no byte was sent and with
     * {@link ConnectionLostException} or {@link ResponseTruncatedException} otherwise; cancelling closes the connection.
     *
     * @param onDispatch called immediately before the first byte is sent
     * @param handler consumes the response; its result must not depend on the connection
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
                ? new ResponseTruncatedException("response of " + address + " truncated", cause)
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
