package io.jaywick.node.peer;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import io.jaywick.core.message.Hello;
import io.jaywick.core.message.Message;
import io.jaywick.node.frame.Frame;
import io.jaywick.node.frame.FrameCodec;
import io.jaywick.node.frame.FrameException;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;
import reactor.netty.Connection;

/** Sends and receives frames over one connection, with a bounded number of frames queued for the socket. */
final class FrameChannel {

    private final Connection connection;
    private final FrameCodec codec;
    private final PeerTraffic traffic;
    private final int capacity;
    private final AtomicInteger queued = new AtomicInteger();
    private volatile boolean compressing;

    FrameChannel(Connection connection, FrameCodec codec, PeerTraffic traffic, LinkLimits limits) {
        this.connection = connection;
        this.codec = codec;
        this.traffic = traffic;
        this.capacity = limits.maxQueuedMessages();
        connection.addHandlerLast(new LengthFieldBasedFrameDecoder(
                FrameCodec.MAX_LENGTH_BYTES + FrameCodec.LENGTH_BYTES,
                0,
                FrameCodec.LENGTH_BYTES,
                0,
                FrameCodec.LENGTH_BYTES));
        connection.onReadIdle(limits.idleTimeoutMillis(), this::close);
    }

    /** Writes a frame; returns false, without writing it, if the queue is full. */
    boolean send(int version, long id, Message message) {
        if (queued.incrementAndGet() > capacity) {
            queued.decrementAndGet();
            return false;
        }
        byte[] frame = compressing && version >= FrameCodec.FIRST_VERSION_WITH_COMPRESSION
                ? codec.encodeCompressed(version, id, message)
                : codec.encode(version, id, message);
        traffic.recordSent(frame.length);
        connection.channel().writeAndFlush(Unpooled.wrappedBuffer(frame)).addListener(done -> queued.decrementAndGet());
        return true;
    }

    /**
     * Compresses further frames if the peers are in different data centres: only that traffic is paid for, and
     * compression costs processor time.
     */
    void helloExchanged(Hello own, Hello peer) {
        compressing = !own.self().dataCentre().equals(peer.self().dataCentre());
    }

    /** Number of frames that are not yet written to the socket. */
    int queued() {
        return queued.get();
    }

    /** Writes a last frame, even if the queue is full, and closes the connection after it. */
    void sendAndClose(int version, long id, Message message) {
        byte[] frame = codec.encode(version, id, message);
        traffic.recordSent(frame.length);
        connection.channel().writeAndFlush(Unpooled.wrappedBuffer(frame)).addListener(ChannelFutureListener.CLOSE);
    }

    /**
     * Passes each received frame, or the fault that prevents its decoding, to a consumer on the event loop of the
     * connection. Any other failure closes the connection.
     */
    void receive(Consumer<Frame> onFrame, Consumer<FrameException> onFault) {
        connection
                .inbound()
                .receive()
                .asByteArray()
                .subscribe(
                        bytes -> {
                            traffic.recordReceived(bytes.length + FrameCodec.LENGTH_BYTES);
                            Frame frame;
                            try {
                                frame = codec.decode(bytes);
                            } catch (FrameException e) {
                                traffic.recordRejected();
                                onFault.accept(e);
                                return;
                            }
                            onFrame.accept(frame);
                        },
                        failure -> {
                            if (isCausedByTooLongFrame(failure)) {
                                traffic.recordRejected();
                                onFault.accept(codec.tooLongException());
                            } else {
                                close();
                            }
                        });
    }

    Channel channel() {
        return connection.channel();
    }

    void onClose(Runnable action) {
        connection.onDispose(action::run);
    }

    void close() {
        connection.channel().close();
    }

    private static boolean isCausedByTooLongFrame(Throwable failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (cause instanceof TooLongFrameException) {
                return true;
            }
        }
        return false;
    }
}
