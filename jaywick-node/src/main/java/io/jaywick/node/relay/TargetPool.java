package io.jaywick.node.relay;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Set;
import java.util.function.LongSupplier;

import io.jaywick.core.gate.IdleTimeoutEstimator;
import io.jaywick.core.message.ForwardCall;
import io.jaywick.node.settings.SocketAddressParser;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import jdk.net.ExtendedSocketOptions;

/** Connections to the local target. The most recently used idle connection is used first, so that few stay open. */
final class TargetPool implements AutoCloseable {

    /** Extra time for a response that the target itself sends at the deadline. */
    static final long RESPONSE_SLACK_MILLIS = 80;

    /** The target runs on the same host; a connection that takes longer will not be established. */
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    /** Keep-alive probes close the connection of an unresponsive target after about three seconds. */
    private static final int KEEPALIVE_SECONDS = 1;

    private static final int KEEPALIVE_PROBES = 2;

    /** Bound on the responses being received together; a copy of each is made when it is forwarded. */
    private static final int MAX_BUFFERED_BYTES = 24 << 20;

    private final Bootstrap bootstrap;
    private final RelayContext context;
    private final ArrayDeque<TargetConnection> idleConnections = new ArrayDeque<>();
    private final Set<TargetConnection> openConnections = new HashSet<>();
    private final IdleTimeoutEstimator idleTimeoutEstimator = new IdleTimeoutEstimator();
    private final UnmatchedResponses unmatchedResponses;
    private String observedInstance;
    private int bufferedBytes;

    TargetPool(RelayContext context, UnmatchedResponses unmatchedResponses) {
        this.context = context;
        this.unmatchedResponses = unmatchedResponses;
        this.bootstrap = new Bootstrap()
                .group(context.runtime().loop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEPALIVE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEPALIVE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEPALIVE_PROBES)
                .remoteAddress(SocketAddressParser.parse(context.settings().targetAddress()))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        TargetResponseDecoder decoder = new TargetResponseDecoder();
                        channel.pipeline()
                                .addLast(
                                        decoder,
                                        new TargetRequestEncoder(),
                                        new TargetConnection(TargetPool.this, decoder));
                    }
                });
    }

    /** Receives the result of an exchange. */
    interface ResultListener {

        /**
         * Called once at the end of the exchange.
         *
         * @param endNanos monotonic time at which the response began or, without a response, the exchange ended
         */
        void ended(CallResult result, long endNanos);
    }

    /** Sends a call over an idle or a new connection. A call whose connection cannot be opened was not sent. */
    PendingCall send(ForwardCall call, LongSupplier remainingMillis, ResultListener listener) {
        TargetConnection connection = takeIdle(call.requestId());
        if (connection != null) {
            connection.send(call, remainingMillis.getAsLong(), listener);
            return () -> connection.cancel(call);
        }
        ConnectingCall connectingCall = new ConnectingCall(call, remainingMillis, listener);
        ChannelFuture connect = bootstrap.connect();
        connect.addListener(completed -> connectingCall.connected(connect));
        return connectingCall;
    }

    private TargetConnection takeIdle(String requestId) {
        Iterator<TargetConnection> idle = idleConnections.iterator();
        while (idle.hasNext()) {
            TargetConnection next = idle.next();
            if (!next.isUsable()) {
                idle.remove();
                next.close();
            } else if (!next.hasSent(requestId)) {
                idle.remove();
                return next;
            }
        }
        // The new connection replaces an idle one: a target accepts only a limited number of them.
        TargetConnection replaced = idleConnections.pollLast();
        if (replaced != null) {
            replaced.close();
        }
        return null;
    }

    private final class ConnectingCall implements PendingCall {
        private final ForwardCall call;
        private final LongSupplier remainingMillis;
        private final ResultListener listener;
        private TargetConnection connection;
        private boolean cancelled;

        ConnectingCall(ForwardCall call, LongSupplier remainingMillis, ResultListener listener) {
            this.call = call;
            this.remainingMillis = remainingMillis;
            this.listener = listener;
        }

        void connected(ChannelFuture connect) {
            if (!connect.isSuccess()) {
                if (!cancelled) {
                    listener.ended(CallResult.refused("target-down"), nanoTime());
                }
                return;
            }
            connection = connect.channel().pipeline().get(TargetConnection.class);
            openConnections.add(connection);
            if (cancelled) {
                release(connection);
            } else if (remainingMillis.getAsLong() <= 0) {
                release(connection);
                listener.ended(CallResult.refused("deadline"), nanoTime());
            } else {
                connection.send(call, remainingMillis.getAsLong(), listener);
            }
        }

        @Override
        public void cancel() {
            cancelled = true;
            if (connection != null) {
                connection.cancel(call);
            }
        }
    }

    /** Reserves memory for bytes of a response; returns false if the bound would be exceeded. */
    boolean reserveBytes(int bytes) {
        if (bufferedBytes + bytes > MAX_BUFFERED_BYTES) {
            return false;
        }
        bufferedBytes += bytes;
        return true;
    }

    /** Releases the memory of a response. */
    void releaseBytes(int bytes) {
        bufferedBytes -= bytes;
    }

    void release(TargetConnection connection) {
        idleConnections.addFirst(connection);
    }

    void connectionClosed(TargetConnection connection) {
        idleConnections.remove(connection);
        openConnections.remove(connection);
    }

    /** Records the id of the instance that responded at the address; null when the response has none. */
    void recordInstance(String id) {
        if (id != null && !id.equals(observedInstance)) {
            observedInstance = id;
            context.log().info("instance observed at the address of the local target", "instance", id);
        }
    }

    /** Id of the instance that last responded at the address, or null when none has sent its id. */
    String observedInstance() {
        return observedInstance;
    }

    IdleTimeoutEstimator idleTimeoutEstimator() {
        return idleTimeoutEstimator;
    }

    UnmatchedResponses unmatchedResponses() {
        return unmatchedResponses;
    }

    int openConnections() {
        return openConnections.size();
    }

    HeaderNames names() {
        return context.names();
    }

    RelayLog log() {
        return context.log();
    }

    long nanoTime() {
        return context.nanoTime();
    }

    @Override
    public void close() {
        for (TargetConnection connection : Set.copyOf(openConnections)) {
            connection.close();
        }
    }
}
