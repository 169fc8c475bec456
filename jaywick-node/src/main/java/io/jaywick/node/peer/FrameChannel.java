package io.jaywick.node.peer;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import io.jaywick.core.message.Message;
import io.jaywick.node.frame.Frame;
import io.jaywick.node.frame.FrameCodec;
import io.jaywick.node.frame.FrameException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;

/** Sends and receives frames over one connection, with a bounded number of frames queued for the socket. */
final class FrameChannel {

    private final Channel channel;
    private final FrameCodec codec;
    private final PeerTraffic traffic;
    private final int capacity;
    private final AtomicInteger queued = new AtomicInteger();

    /** Adds the handlers of frames to a new channel; {@link #receive} must be called before it reads. */
    FrameChannel(Channel channel, FrameCodec codec, PeerTraffic traffic, LinkLimits limits) {
        this.channel = channel;
        this.codec = codec;
        this.traffic = traffic;
        this.capacity = limits.maxQueuedMessages();
        channel.pipeline()
                .addLast(
                        new IdleStateHandler(limits.idleTimeoutMillis(), 0, 0, TimeUnit.MILLISECONDS),
                        new LengthFieldBasedFrameDecoder(
                                FrameCodec.MAX_LENGTH_BYTES + FrameCodec.LENGTH_BYTES,
                                0,
                                FrameCodec.LENGTH_BYTES,
                                0,
                                FrameCodec.LENGTH_BYTES));
    }

    /** Writes a frame; returns false, without writing it, if the queue is full. */
    boolean send(int version, long id, Message message) {
        if (queued.incrementAndGet() > capacity) {
            queued.decrementAndGet();
            return false;
        }
        byte[] frame = codec.encode(version, id, message);
        traffic.recordSent(frame.length);
        channel.writeAndFlush(Unpooled.wrappedBuffer(frame)).addListener(done -> queued.decrementAndGet());
        return true;
    }

    /** Number of frames that are not yet written to the socket. */
    int queued() {
        return queued.get();
    }

    /** Writes a last frame, even if the queue is full, and closes the connection after it. */
    void sendAndClose(int version, long id, Message message) {
        byte[] frame = codec.encode(version, id, message);
        traffic.recordSent(frame.length);
        channel.writeAndFlush(Unpooled.wrappedBuffer(frame)).addListener(ChannelFutureListener.CLOSE);
    }

    /**
     * Passes each received frame, or the fault that prevents its decoding, to a consumer on the event loop of the
     * connection. Any other failure closes the connection.
     */
    void receive(Consumer<Frame> onFrame, Consumer<FrameException> onFault) {
        channel.pipeline().addLast(new FrameHandler(onFrame, onFault));
    }

    private final class FrameHandler extends SimpleChannelInboundHandler<ByteBuf> {
        private final Consumer<Frame> onFrame;
        private final Consumer<FrameException> onFault;
        private boolean failed;

        FrameHandler(Consumer<Frame> onFrame, Consumer<FrameException> onFault) {
            this.onFrame = onFrame;
            this.onFault = onFault;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf buffer) {
            if (failed) {
                return;
            }
            byte[] bytes = ByteBufUtil.getBytes(buffer);
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
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event instanceof IdleStateEvent) {
                close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable failure) {
            if (!failed && isCausedByTooLongFrame(failure)) {
                traffic.recordRejected();
                onFault.accept(codec.tooLongException());
            } else {
                close();
            }
            failed = true;
        }
    }

    Channel channel() {
        return channel;
    }

    void onClose(Runnable action) {
        channel.closeFuture().addListener(closed -> action.run());
    }

    void close() {
        channel.close();
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
