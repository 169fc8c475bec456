package io.jaywick.node.proxy;

import java.net.InetSocketAddress;
import java.util.function.BiFunction;

import io.netty.channel.ChannelOption;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** HTTP server that closes its connections when it is closed. */
final class HttpListener implements AutoCloseable {

    private static final int BACKLOG = 1_024;

    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final DisposableServer server;

    HttpListener(String address, BiFunction<HttpServerRequest, HttpServerResponse, Mono<Void>> handler) {
        InetSocketAddress local = AddressParser.parse(address);
        this.server = HttpServer.create()
                .bindAddress(() -> local)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .doOnConnection(connection -> channels.add(connection.channel()))
                .handle(handler)
                .bindNow();
    }

    int port() {
        return server.port();
    }

    /** Closes the listener and all connections immediately. */
    @Override
    public void close() {
        server.dispose();
        channels.close();
    }
}
