package io.jaywick.node.peer;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import io.jaywick.core.message.Digest;
import io.jaywick.core.message.ErrorReply;
import io.jaywick.core.message.ForwardCall;
import io.jaywick.core.message.GoAway;
import io.jaywick.core.message.Hello;
import io.jaywick.core.message.Message;
import io.jaywick.core.message.Ping;
import io.jaywick.core.message.SourceQuery;
import io.jaywick.node.frame.Frame;
import io.jaywick.node.frame.FrameCodec;
import io.jaywick.node.frame.FrameException;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import reactor.netty.resources.LoopResources;

/** An outgoing connection and its pending requests. Thread-safe. */
final class PeerConnection {

    private static final long HELLO_ID = 0;

    /** A live peer answers a ping within one round trip; the limit tolerates two successive packet losses. */
    private static final int MAX_CHECKS_WITHOUT_FRAME = 3;

    private final String address;
    private final FrameCodec codec;
    private final PeerTraffic traffic;
    private final LinkLimits limits;
    private final BiConsumer<PeerConnection, Boolean> onClose;
    private final Map<Long, PendingRequest> pending = new HashMap<>();
    private final Queue<Long> unsent = new ArrayDeque<>();
    private final LoopResources loops;
    private final Hello hello;
    private FrameChannel channel;
    private boolean started;
    private int version;
    private boolean ready;
    private boolean closed;
    private long lastId = HELLO_ID;
    private long lastAcceptedId = Long.MAX_VALUE;
    private int checksWithoutFrame;
    private boolean checkScheduled;

    PeerConnection(
            String address,
            FrameCodec codec,
            PeerTraffic traffic,
            LinkLimits limits,
            LoopResources loops,
            Hello hello,
            BiConsumer<PeerConnection, Boolean> onClose) {
        this.address = address;
        this.codec = codec;
        this.traffic = traffic;
        this.limits = limits;
        this.onClose = onClose;
        this.loops = loops;
        this.hello = hello;
        this.version = codec.minVersion();
    }

    /**
     * Connects; later calls have no effect. The caller registers the connection first, because it may fail at once.
     */
    void start() {
        synchronized (this) {
            if (started) {
                return;
            }
            started = true;
        }
        EventLoopGroup group = loops.onClient(LoopResources.DEFAULT_NATIVE);
        try {
            new Bootstrap()
                    .group(group)
                    .channelFactory(() -> loops.onChannel(SocketChannel.class, group))
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, limits.connectTimeoutMillis())
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel opened) {
                            prepare(opened);
                        }
                    })
                    .connect(PeerAddress.parse(address))
                    .addListener(connect -> {
                        if (connect.isSuccess()) {
                            onConnected();
                        } else {
                            terminate(connect.cause(), false);
                        }
                    });
        } catch (RuntimeException e) {
            // The address is malformed, or the event loop is shut down.
            terminate(e, false);
        }
    }

    String address() {
        return address;
    }

    /** Sends or queues a request; returns null if the connection is already closed. */
    CompletableFuture<Message> request(Message message) {
        CompletableFuture<Message> reply = new CompletableFuture<>();
        synchronized (this) {
            if (closed) {
                return null;
            }
            if (message instanceof ForwardCall && lastAcceptedId != Long.MAX_VALUE) {
                reply.completeExceptionally(new PeerException(PeerException.Kind.LEAVING, address + " is draining"));
                return reply;
            }
            // Digests repeat every second, so they have the lowest priority: they may use only half of the queue.
            int capacity = message instanceof Digest ? limits.maxQueuedMessages() / 2 : limits.maxQueuedMessages();
            if (pending.size() >= capacity) {
                reply.completeExceptionally(
                        new PeerException(PeerException.Kind.QUEUE_FULL, "request queue full: " + address));
                return reply;
            }
            long id = ++lastId;
            pending.put(id, new PendingRequest(message, reply));
            if (ready) {
                transmit(id);
            } else {
                unsent.add(id);
            }
        }
        return reply;
    }

    void close() {
        terminate(new PeerException(PeerException.Kind.DISCONNECTED, "the link is closed"), true);
    }

    private synchronized void prepare(Channel opened) {
        channel = new FrameChannel(opened, codec, traffic, limits);
        channel.receive(this::onFrame, fault -> terminate(fault, true));
    }

    private void onConnected() {
        synchronized (this) {
            if (closed) {
                channel.close();
                return;
            }
        }
        channel.onClose(() -> terminate(null, true));
        // Peers with the previous or the next protocol version accept a Hello in the newest version of this side.
        channel.send(codec.maxVersion(), HELLO_ID, hello);
        scheduleTimeout(HELLO_ID, helloTimeoutMillis());
    }

    /** A peer that does not reply to Hello is given up as soon as one that becomes unresponsive later. */
    private long helloTimeoutMillis() {
        long responsiveMillis = (MAX_CHECKS_WITHOUT_FRAME + 1) * limits.pingIntervalMillis();
        return responsiveMillis > 0
                ? Math.min(responsiveMillis, limits.replyTimeoutMillis())
                : limits.replyTimeoutMillis();
    }

    /** Schedules the next check. Checks run only while requests are in flight, so idle connections need no timers. */
    private void scheduleCheck() {
        checkScheduled = true;
        channel.channel()
                .eventLoop()
                .schedule(this::checkResponsive, limits.pingIntervalMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Checks whether a frame was received since the previous check. Sends a ping from the second successive check
     * without a frame on, and closes the connection beyond {@link #MAX_CHECKS_WITHOUT_FRAME} of them. Runs on the event
     * loop of the connection, like {@link #onFrame}.
     */
    private void checkResponsive() {
        synchronized (this) {
            if (closed || pending.values().stream().noneMatch(PendingRequest::expectsPromptReply)) {
                checkScheduled = false;
                checksWithoutFrame = 0;
                return;
            }
        }
        checksWithoutFrame++;
        if (checksWithoutFrame > MAX_CHECKS_WITHOUT_FRAME) {
            terminate(new PeerException(PeerException.Kind.TIMEOUT, address + " is unresponsive"), true);
            return;
        }
        if (checksWithoutFrame > 1) {
            request(new Ping(checksWithoutFrame));
        }
        scheduleCheck();
    }

    private void onFrame(Frame frame) {
        checksWithoutFrame = 0;
        if (frame.id() == HELLO_ID) {
            if (frame.message() instanceof Hello peer) {
                onHello(peer);
            } else if (frame.message() instanceof GoAway notice) {
                onGoAway(notice);
            } else {
                terminate(
                        new PeerException(
                                PeerException.Kind.REFUSED, address + " replied to Hello with " + frame.message()),
                        true);
            }
            return;
        }
        PendingRequest request;
        synchronized (this) {
            request = pending.remove(frame.id());
        }
        if (request == null) {
            return;
        }
        request.cancelTimeout();
        if (frame.message() instanceof ErrorReply error) {
            request.reply.completeExceptionally(
                    new PeerException(PeerException.Kind.REFUSED, error.kind() + ": " + error.detail()));
        } else {
            request.reply.complete(frame.message());
        }
    }

    private synchronized void onHello(Hello peer) {
        version = Math.max(codec.minVersion(), Math.min(codec.maxVersion(), peer.maxVersion()));
        ready = true;
        for (Long id = unsent.poll(); id != null; id = unsent.poll()) {
            if (pending.containsKey(id)) {
                transmit(id);
            }
        }
    }

    /** The peer still refuses the calls that it does not accept, one by one, unless the connection closes first. */
    private synchronized void onGoAway(GoAway notice) {
        lastAcceptedId = Math.min(lastAcceptedId, notice.lastTakenId());
    }

    private void transmit(long id) {
        PendingRequest request = pending.get(id);
        boolean sent;
        try {
            sent = channel.send(version, id, request.message);
        } catch (FrameException e) {
            pending.remove(id);
            request.reply.completeExceptionally(e);
            return;
        }
        if (!sent) {
            pending.remove(id);
            request.reply.completeExceptionally(
                    new PeerException(PeerException.Kind.QUEUE_FULL, "request queue full: " + address));
            return;
        }
        request.timeout = scheduleTimeout(id, limits.replyTimeoutMillis());
        if (limits.pingIntervalMillis() > 0 && !checkScheduled && request.expectsPromptReply()) {
            scheduleCheck();
        }
    }

    private ScheduledFuture<?> scheduleTimeout(long id, long millis) {
        return channel.channel().eventLoop().schedule(() -> onTimeout(id), millis, TimeUnit.MILLISECONDS);
    }

    private void onTimeout(long id) {
        PendingRequest request;
        synchronized (this) {
            if (id == HELLO_ID && ready) {
                return;
            }
            request = pending.remove(id);
        }
        PeerException failure =
                new PeerException(PeerException.Kind.TIMEOUT, "no reply within the timeout from " + address);
        if (id == HELLO_ID) {
            terminate(failure, false);
        } else if (request != null) {
            request.reply.completeExceptionally(failure);
        }
    }

    private void terminate(Throwable cause, boolean wasOpen) {
        Map<Long, PendingRequest> lost;
        boolean helloReceived;
        long acceptedId;
        synchronized (this) {
            if (closed) {
                return;
            }
            closed = true;
            helloReceived = ready;
            acceptedId = lastAcceptedId;
            lost = new HashMap<>(pending);
            pending.clear();
            unsent.clear();
        }
        onClose.accept(this, wasOpen && helloReceived);
        if (channel != null) {
            channel.close();
        }
        lost.forEach((id, request) -> {
            request.cancelTimeout();
            request.reply.completeExceptionally(new PeerException(
                    failureKind(helloReceived, id > acceptedId),
                    "connection closed before the reply: " + address,
                    cause));
        });
    }

    private static PeerException.Kind failureKind(boolean helloReceived, boolean notAccepted) {
        if (!helloReceived) {
            return PeerException.Kind.UNREACHABLE;
        }
        return notAccepted ? PeerException.Kind.LEAVING : PeerException.Kind.DISCONNECTED;
    }

    private static final class PendingRequest {
        private final Message message;
        private final CompletableFuture<Message> reply;
        private ScheduledFuture<?> timeout;

        PendingRequest(Message message, CompletableFuture<Message> reply) {
            this.message = message;
            this.reply = reply;
        }

        /**
         * Returns whether the peer must be responsive for this request. A source query that waits at the peer has a
         * timeout of its own, which the querying side enforces.
         */
        boolean expectsPromptReply() {
            return !(message instanceof SourceQuery query && query.waitMillis() > 0);
        }

        void cancelTimeout() {
            if (timeout != null) {
                timeout.cancel(false);
            }
        }
    }
}
