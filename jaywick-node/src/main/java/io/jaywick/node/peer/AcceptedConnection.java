package io.jaywick.node.peer;

import java.util.concurrent.atomic.AtomicInteger;

import io.jaywick.core.message.Busy;
import io.jaywick.core.message.ErrorReply;
import io.jaywick.core.message.ForwardCall;
import io.jaywick.core.message.GoAway;
import io.jaywick.core.message.Hello;
import io.jaywick.core.message.Message;
import io.jaywick.core.message.MessageHandler;
import io.jaywick.node.frame.Frame;
import io.jaywick.node.frame.FrameCodec;
import io.jaywick.node.frame.FrameException;

/** A connection opened by a peer, with a bounded number of requests in flight. Runs on its event loop. */
final class AcceptedConnection {

    private static final long BUSY_RETRY_AFTER_MILLIS = 200;

    /** Frame id of the {@code Hello}; messages that the server sends without a request carry it as well. */
    private static final long HELLO_ID = 0;

    private final FrameChannel channel;
    private final MessageHandler handler;
    private final FrameCodec codec;
    private final LinkLimits limits;
    private final AtomicInteger inFlight = new AtomicInteger();
    private int version;
    private long lastCallId;
    private boolean goAwaySent;

    AcceptedConnection(FrameChannel channel, MessageHandler handler, FrameCodec codec, LinkLimits limits) {
        this.channel = channel;
        this.handler = handler;
        this.codec = codec;
        this.limits = limits;
        this.version = codec.minVersion();
    }

    FrameChannel channel() {
        return channel;
    }

    /** Passes a request to its handler and sends the reply, or {@code Busy} if too many requests are in flight. */
    void handle(Frame frame) {
        if (frame.message() instanceof Hello hello) {
            version = Math.min(codec.maxVersion(), hello.maxVersion());
        } else if (frame.message() instanceof ForwardCall) {
            lastCallId = Math.max(lastCallId, frame.id());
        }
        if (inFlight.incrementAndGet() > limits.maxQueuedMessages()) {
            inFlight.decrementAndGet();
            sendReply(frame, new Busy(BUSY_RETRY_AFTER_MILLIS));
            return;
        }
        handler.handle(frame.message()).whenComplete((message, failure) -> {
            inFlight.decrementAndGet();
            if (frame.message() instanceof Hello peer && message instanceof Hello own) {
                channel.helloExchanged(own, peer);
            }
            sendReply(frame, failure == null ? message : new ErrorReply("refused", failure.toString()));
        });
    }

    private void sendReply(Frame frame, Message message) {
        try {
            if (!channel.send(frame.version(), frame.id(), message)) {
                // The queue is full because the peer does not read its replies; closing bounds the memory they hold.
                channel.close();
            }
        } catch (FrameException e) {
            channel.send(frame.version(), frame.id(), new ErrorReply(e.kind(), e.getMessage()));
        }
    }

    /**
     * Sends the id of the last accepted call, once. A peer with an older protocol version is not notified; it learns of
     * the drain from the refusal of its calls.
     */
    void sendGoAway() {
        if (!goAwaySent && version >= FrameCodec.FIRST_VERSION_WITH_GO_AWAY) {
            goAwaySent = true;
            channel.send(version, HELLO_ID, new GoAway(lastCallId));
        }
    }
}
