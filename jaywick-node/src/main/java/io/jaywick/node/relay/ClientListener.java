package io.jaywick.node.relay;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.jaywick.core.fleet.FleetView;
import io.jaywick.core.rules.CallerLimits;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;

/** Takes the connections of the callers beside the node. */
final class ClientListener implements AutoCloseable {

    /** A burst of new connections waits here instead of losing its opening packets. */
    private static final int BACKLOG = 1_024;

    private final OutboundCalls calls;
    private final Supplier<FleetView> fleet;
    private final HeaderNames names;
    private final LongSupplier nanoTime;
    private final RelayLog log;
    private final Set<ClientConnection> open = new HashSet<>();
    private final Channel channel;
    private boolean leaving;

    ClientListener(
            EventLoopGroup loop,
            InetSocketAddress address,
            OutboundCalls calls,
            Supplier<FleetView> fleet,
            HeaderNames names,
            LongSupplier nanoTime,
            RelayLog log) {
        this.calls = calls;
        this.fleet = fleet;
        this.names = names;
        this.nanoTime = nanoTime;
        this.log = log;
        this.channel = new ServerBootstrap()
                .group(loop)
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
                                        new FirstBytes(connection),
                                        new StrictRequestDecoder(limits().maxHeaderBytes()),
                                        new HttpResponseEncoder(),
                                        connection);
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
    }

    /** Tells the connection when bytes arrive, so that a slow head can be timed. */
    private static final class FirstBytes extends ChannelInboundHandlerAdapter {
        private final ClientConnection connection;

        FirstBytes(ClientConnection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            connection.headStarted();
            context.fireChannelRead(message);
        }
    }

    InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    PendingCall serve(ClientRequest request, Consumer<ClientAnswer> done) {
        return calls.serve(request, done);
    }

    CallerLimits limits() {
        return fleet.get().rules().callerLimits();
    }

    HeaderNames names() {
        return names;
    }

    long nanoTime() {
        return nanoTime.getAsLong();
    }

    RelayLog log() {
        return log;
    }

    void rejected(String reason) {
        log.call("request rejected", "reason", reason);
    }

    void opened(ClientConnection connection) {
        open.add(connection);
    }

    void closed(ClientConnection connection) {
        open.remove(connection);
    }

    int openConnections() {
        return open.size();
    }

    /** From now on each answer closes its connection. */
    void leave() {
        leaving = true;
    }

    boolean isLeaving() {
        return leaving;
    }

    /** Closes the connections on which no request is under way. */
    void closeIdle() {
        for (ClientConnection connection : Set.copyOf(open)) {
            connection.closeWhenIdle();
        }
    }

    boolean hasBusyConnections() {
        for (ClientConnection connection : open) {
            if (connection.isBusy()) {
                return true;
            }
        }
        return false;
    }

    @Override
    public void close() {
        channel.close();
    }
}
