package io.jaywick.node.peer;

import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicInteger;

import io.jaywick.core.message.Busy;
import io.jaywick.core.message.ErrorReply;
import io.jaywick.core.message.Hello;
import io.jaywick.core.message.Message;
import io.jaywick.core.message.MessageHandler;
import io.jaywick.node.frame.Frame;
import io.jaywick.node.frame.FrameCodec;
import io.jaywick.node.frame.FrameException;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.resources.LoopResources;
import reactor.netty.tcp.TcpServer;

/**
 * Listens for frames and answers each with the reply of its handler. A frame that cannot be read is answered with
 * {@code ErrorReply}; a fault of the stream also closes the connection.
 */
public final class PeerServer implements AutoCloseable {

    private static final long BUSY_MILLIS = 200;

    private final DisposableServer server;
    private final FrameCodec codec;
    private final MessageHandler handler;
    private final PeerTraffic traffic;
    private final LinkLimits limits;

    /** Binds the address HOST:PORT; port 0 takes a free port. */
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
        this.server = TcpServer.create()
                .runOn(loops)
                .bindAddress(() -> bind)
                .doOnConnection(this::accept)
                .handle((in, out) -> out.neverComplete())
                .bindNow();
    }

    /** Address HOST:PORT on which the server listens. */
    public String address() {
        return PeerAddress.format((InetSocketAddress) server.address());
    }

    private void accept(Connection connection) {
        FrameChannel channel = new FrameChannel(connection, codec, traffic, limits);
        AtomicInteger running = new AtomicInteger();
        channel.receive(frame -> answer(channel, running, frame), fault -> refuse(channel, fault));
    }

    private void answer(FrameChannel channel, AtomicInteger running, Frame frame) {
        if (frame.message() instanceof Hello hello
                && (hello.minVersion() > codec.maxVersion() || hello.maxVersion() < codec.minVersion())) {
            channel.sendAndClose(
                    frame.version(),
                    frame.id(),
                    new ErrorReply("bad-version", "accepted are " + codec.minVersion() + " to " + codec.maxVersion()));
            return;
        }
        if (running.incrementAndGet() > limits.queueMessages()) {
            running.decrementAndGet();
            reply(channel, frame, new Busy(BUSY_MILLIS));
            return;
        }
        handler.handle(frame.message()).whenComplete((message, failure) -> {
            running.decrementAndGet();
            reply(channel, frame, failure == null ? message : new ErrorReply("refused", failure.toString()));
        });
    }

    private static void reply(FrameChannel channel, Frame frame, Message message) {
        try {
            if (!channel.send(frame.version(), frame.id(), message)) {
                // The peer does not read its replies; it must not hold memory of this node.
                channel.close();
            }
        } catch (FrameException e) {
            channel.send(frame.version(), frame.id(), new ErrorReply(e.kind(), e.getMessage()));
        }
    }

    private void refuse(FrameChannel channel, FrameException fault) {
        ErrorReply reply = new ErrorReply(fault.kind(), fault.getMessage());
        if (fault.closesConnection()) {
            channel.sendAndClose(codec.maxVersion(), fault.id(), reply);
        } else if (!channel.send(codec.minVersion(), fault.id(), reply)) {
            channel.close();
        }
    }

    @Override
    public void close() {
        server.disposeNow();
    }
}
