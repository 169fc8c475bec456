package io.jaywick.node.peer;

import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import io.jaywick.core.message.ErrorReply;
import io.jaywick.core.message.Hello;
import io.jaywick.core.message.MessageHandler;
import io.jaywick.node.frame.Frame;
import io.jaywick.node.frame.FrameCodec;
import io.jaywick.node.frame.FrameException;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.ServerSocketChannel;
import reactor.netty.resources.LoopResources;

/**
 * Accepts connections of peers and answers each frame with the reply of its handler. A frame that cannot be decoded is
 * answered with {@code ErrorReply}; a fault after which the stream cannot be read further also closes the connection.
 */
public final class PeerServer implements AutoCloseable {

    /** Length of the accept queue; it holds the connections of peers that notice a restart at the same time. */
    private static final int BACKLOG = 1_000;

    private final Channel server;
    private final FrameCodec codec;
    private final MessageHandler handler;
    private final PeerTraffic traffic;
    private final LinkLimits limits;
    private final Set<AcceptedConnection> connections = ConcurrentHashMap.newKeySet();
    private volatile boolean draining;

    /**
     * Binds the server to an address IP:PORT; port 0 selects a free port.
     *
     * @throws PeerException if the address is not an IP address with a port
     */
    public PeerServer(
            String address,
            MessageHandler handler,
            FrameCodec codec,
            PeerTraffic traffic,
            LinkLimits limits,
            LoopResources loops) {
        this.codec = codec;
        this.handler = handler;
        this.traffic = traffic;
        this.limits = limits;
        InetSocketAddress bind = PeerAddress.parse(address);
        EventLoopGroup acceptors = loops.onServerSelect(LoopResources.DEFAULT_NATIVE);
        this.server = new ServerBootstrap()
                .group(acceptors, loops.onServer(LoopResources.DEFAULT_NATIVE))
                .channelFactory(() -> loops.onChannel(ServerSocketChannel.class, acceptors))
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel accepted) {
                        accept(accepted);
                    }
                })
                .bind(bind)
                .syncUninterruptibly()
                .channel();
    }

    /** Returns the address IP:PORT on which the server listens. */
    public String address() {
        return PeerAddress.format((InetSocketAddress) server.localAddress());
    }

    private void accept(Channel connection) {
        FrameChannel channel = new FrameChannel(connection, codec, traffic, limits);
        AcceptedConnection accepted = new AcceptedConnection(channel, handler, codec, limits);
        connections.add(accepted);
        channel.onClose(() -> connections.remove(accepted));
        channel.receive(frame -> handle(accepted, frame), fault -> reject(channel, fault));
    }

    private void handle(AcceptedConnection accepted, Frame frame) {
        if (frame.message() instanceof Hello hello
                && (hello.minVersion() > codec.maxVersion() || hello.maxVersion() < codec.minVersion())) {
            accepted.channel()
                    .sendAndClose(
                            frame.version(),
                            frame.id(),
                            new ErrorReply(
                                    "bad-version",
                                    "expected protocol version " + codec.minVersion() + " to " + codec.maxVersion()));
            return;
        }
        accepted.handle(frame);
        if (draining && frame.message() instanceof Hello) {
            accepted.sendGoAway();
        }
    }

    /**
     * Notifies every connected peer, and every peer that connects later, that this node accepts no further calls. The
     * handler of forwarded calls must refuse them from now on.
     */
    public void sendGoAway() {
        draining = true;
        for (AcceptedConnection accepted : connections) {
            accepted.channel().channel().eventLoop().execute(accepted::sendGoAway);
        }
    }

    /** Returns the number of replies that are not yet written to the sockets of the peers. */
    public int unwrittenReplies() {
        return connections.stream()
                .mapToInt(accepted -> accepted.channel().queued())
                .sum();
    }

    private void reject(FrameChannel channel, FrameException fault) {
        ErrorReply reply = new ErrorReply(fault.kind(), fault.getMessage());
        if (fault.closesConnection()) {
            channel.sendAndClose(codec.maxVersion(), fault.id(), reply);
        } else if (!channel.send(codec.minVersion(), fault.id(), reply)) {
            channel.close();
        }
    }

    @Override
    public void close() {
        server.close().syncUninterruptibly();
    }
}
