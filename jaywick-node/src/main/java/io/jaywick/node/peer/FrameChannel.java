package io.jaywick.node.peer;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

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

/** Frames over one connection, with a bounded number of frames waiting for the socket. */
final class FrameChannel {

    private final Connection connection;
    private final FrameCodec codec;
    private final PeerTraffic traffic;
    private final int capacity;
    private final AtomicInteger waiting = new AtomicInteger();

    FrameChannel(Connection connection, FrameCodec codec, PeerTraffic traffic, LinkLimits limits) {
        this.connection = connection;
        this.codec = codec;
        this.traffic = traffic;
        this.capacity = limits.queueMessages();
        connection.addHandlerLast(new LengthFieldBasedFrameDecoder(
                FrameCodec.MAX_LENGTH_BYTES + FrameCodec.LENGTH_BYTES,
                0,
                FrameCodec.LENGTH_BYTES,
                0,
                FrameCodec.LENGTH_BYTES));
        connection.onReadIdle(limits.idleMillis(), this::close);
    }

    /** Number of frames that wait for the socket. */
    int waiting() {
        return waiting.get();
    }

    /** Writes a frame; returns false when the queue is full. */
    boolean send(int version, long id, Message message) {
        if (waiting.incrementAndGet() > capacity) {
            waiting.decrementAndGet();
            return false;
        }
        byte[] frame = codec.encode(version, id, message);
        traffic.sent(frame.length);
        connection
                .channel()
                .writeAndFlush(Unpooled.wrappedBuffer(frame))
                .addListener(done -> waiting.decrementAndGet());
        return true;
    }

    /** Writes a last frame and closes the connection after it. */
    void sendAndClose(int version, long id, Message message) {
        byte[] frame = codec.encode(version, id, message);
        traffic.sent(frame.length);
        connection.channel().writeAndFlush(Unpooled.wrappedBuffer(frame)).addListener(ChannelFutureListener.CLOSE);
    }

    /** Passes each frame that arrives to one of the consumers, on the thread of the connection. */
    void receive(Consumer<Frame> onFrame, Consumer<FrameException> onFault) {
        connection
                .inbound()
                .receive()
                .asByteArray()
                .subscribe(
                        bytes -> {
                            traffic.received(bytes.length + FrameCodec.LENGTH_BYTES);
                            Frame frame;
                            try {
                                frame = codec.decode(bytes);
                            } catch (FrameException e) {
                                traffic.rejected();
                                onFault.accept(e);
                                return;
                            }
                            onFrame.accept(frame);
                        },
                        failure -> {
                            if (rootIsTooLong(failure)) {
                                traffic.rejected();
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

    private static boolean rootIsTooLong(Throwable failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (cause instanceof TooLongFrameException) {
                return true;
            }
        }
        return false;
    }
}
