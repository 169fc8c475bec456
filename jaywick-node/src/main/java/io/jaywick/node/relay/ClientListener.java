package io.jaywick.node.relay;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

import io.jaywick.core.rules.CallerLimits;
import io.jaywick.node.settings.SocketAddressParser;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;

/** Accepts the connections of local callers. */
final class ClientListener implements AutoCloseable {

    /**
     * Length of the accept queue; it holds a burst of new connections whose opening packets would otherwise be dropped.
     */
    private static final int BACKLOG = 1_024;

    private final OutboundCalls calls;
    private final RelayContext context;
    private final Set<ClientConnection> openConnections = new HashSet<>();
    private final Channel channel;
    private boolean draining;

    ClientListener(RelayContext context, OutboundCalls calls) {
        this.context = context;
        this.calls = calls;
        this.channel = new ServerBootstrap()
                .group(context.runtime().loop())
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel accepted) {
                        ClientConnection connection = new ClientConnection(ClientListener.this);
                        accepted.pipeline()
                                .addLast(
                                        new ReceiveHandler(connection),
                                        new StrictRequestDecoder(limits().maxHeaderBytes()),
                                        new HttpResponseEncoder(),
                                        connection);
                    }
                })
                .bind(SocketAddressParser.parse(context.settings().outboundAddress()))
                .syncUninterruptibly()
                .channel();
    }

    /** Prepares a connection for received bytes before they are decoded. */
    private final class ReceiveHandler extends ChannelInboundHandlerAdapter {
        private final ClientConnection connection;

        ReceiveHandler(ClientConnection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext receiving, Object message) {
            connection.bytesReceived();
            applyLimits(receiving.pipeline());
            receiving.fireChannelRead(message);
        }

        /** Replaces the decoder, whose limit is fixed, if the limit has changed since the last request. */
        private void applyLimits(ChannelPipeline pipeline) {
            StrictRequestDecoder decoder = pipeline.get(StrictRequestDecoder.class);
            int maxHeaderBytes = limits().maxHeaderBytes();
            if (decoder.maxHeaderBytes() != maxHeaderBytes && decoder.isBetweenRequests()) {
                pipeline.replace(decoder, null, new StrictRequestDecoder(maxHeaderBytes));
            }
        }
    }

    InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    PendingCall serve(ClientRequest request, Consumer<ClientResponse> onResponse) {
        return calls.serve(request, onResponse);
    }

    CallerLimits limits() {
        return context.fleet().get().rules().callerLimits();
    }

    HeaderNames names() {
        return context.names();
    }

    long nanoTime() {
        return context.nanoTime();
    }

    RelayLog log() {
        return context.log();
    }

    void logRejection(String reason) {
        context.log().callEvent("request rejected", "reason", reason);
    }

    void connectionOpened(ClientConnection connection) {
        openConnections.add(connection);
    }

    void connectionClosed(ClientConnection connection) {
        openConnections.remove(connection);
    }

    /** Makes every further response close its connection. */
    void drain() {
        draining = true;
    }

    boolean isDraining() {
        return draining;
    }

    /** Closes the connections that have been idle for a while, and each other one after its next response. */
    void closeWhenIdle() {
        for (ClientConnection connection : Set.copyOf(openConnections)) {
            connection.closeWhenIdle();
        }
    }

    boolean hasBusyConnections() {
        for (ClientConnection connection : openConnections) {
            if (connection.isBusy()) {
                return true;
            }
        }
        return false;
    }

    /** Number of connections on which a part of a request has arrived. */
    long receiving() {
        return openConnections.stream().filter(ClientConnection::isReceiving).count();
    }

    /** Number of responses that are not yet written to their sockets. */
    int unwrittenResponses() {
        return openConnections.stream()
                .mapToInt(ClientConnection::unflushedResponses)
                .sum();
    }

    @Override
    public void close() {
        channel.close();
    }
}
