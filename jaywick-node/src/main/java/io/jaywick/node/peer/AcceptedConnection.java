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

/** One connection that a peer opened, with a bounded number of requests under way. Runs on its event loop. */
final class AcceptedConnection {

    private static final long BUSY_MILLIS = 200;

    /** The id of the greeting; what a server says unasked is sent under it. */
    private static final long HELLO_ID = 0;

    private final FrameChannel channel;
    private final MessageHandler handler;
    private final FrameCodec codec;
    private final LinkLimits limits;
    private final AtomicInteger running = new AtomicInteger();
    private int version;
    private long lastCallId;
    private boolean goneAway;

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

    /** Passes a request to its handler and sends the reply. */
    void answer(Frame frame) {
        if (frame.message() instanceof Hello hello) {
            version = Math.min(codec.maxVersion(), hello.maxVersion());
        } else if (frame.message() instanceof ForwardCall) {
            lastCallId = Math.max(lastCallId, frame.id());
        }
        if (running.incrementAndGet() > limits.queueMessages()) {
            running.decrementAndGet();
            reply(frame, new Busy(BUSY_MILLIS));
            return;
        }
        handler.handle(frame.message()).whenComplete((message, failure) -> {
            running.decrementAndGet();
            reply(frame, failure == null ? message : new ErrorReply("refused", failure.toString()));
        });
    }

    private void reply(Frame frame, Message message) {
        try {
            if (!channel.send(frame.version(), frame.id(), message)) {
                // The peer does not read its replies; it must not hold memory of this node.
                channel.close();
            }
        } catch (FrameException e) {
            channel.send(frame.version(), frame.id(), new ErrorReply(e.kind(), e.getMessage()));
        }
    }

    /** Says once which call was the last one taken; a peer of an older version learns it from the refusals alone. */
    void goAway() {
        if (!goneAway && version >= FrameCodec.FIRST_VERSION_WITH_GO_AWAY) {
            goneAway = true;
            channel.send(version, HELLO_ID, new GoAway(lastCallId));
        }
    }
}
