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
import io.netty.channel.ChannelOption;
import reactor.netty.Connection;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;
import reactor.netty.tcp.TcpClient;

/** One outgoing connection with the requests that wait for their replies. Safe for use by many threads. */
final class PeerConnection {

    private static final long HELLO_ID = 0;

    /** A live peer answers a ping in one round trip; two lost packets in a row are still borne. */
    private static final int MAX_SILENT_PINGS = 3;

    private final String address;
    private final FrameCodec codec;
    private final PeerTraffic traffic;
    private final LinkLimits limits;
    private final BiConsumer<PeerConnection, Boolean> onClose;
    private final Map<Long, Waiting> waiting = new HashMap<>();
    private final Queue<Long> unsent = new ArrayDeque<>();
    private final LoopResources loops;
    private final Hello hello;
    private FrameChannel channel;
    private boolean started;
    private int version;
    private boolean ready;
    private boolean closed;
    private long lastId = HELLO_ID;
    private long lastTakenId = Long.MAX_VALUE;
    private int silentPings;
    private boolean pinging;

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

    /** Connects; later calls do nothing. Called after the connection is registered, because it may fail at once. */
    void start() {
        synchronized (this) {
            if (started) {
                return;
            }
            started = true;
        }
        TcpClient.create(ConnectionProvider.newConnection())
                .runOn(loops)
                .remoteAddress(() -> PeerAddress.parse(address))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, limits.connectMillis())
                .connect()
                .subscribe(this::opened, failure -> end(failure, false));
    }

    String address() {
        return address;
    }

    /** Sends or queues a request; returns null when the connection has ended meanwhile. */
    CompletableFuture<Message> request(Message message) {
        CompletableFuture<Message> reply = new CompletableFuture<>();
        synchronized (this) {
            if (closed) {
                return null;
            }
            if (message instanceof ForwardCall && lastTakenId != Long.MAX_VALUE) {
                reply.completeExceptionally(new PeerException(PeerException.Kind.LEAVING, address + " leaves"));
                return reply;
            }
            // Digests repeat every second, so they give way first: half of the queue is closed to them.
            int capacity = message instanceof Digest ? limits.queueMessages() / 2 : limits.queueMessages();
            if (waiting.size() >= capacity) {
                reply.completeExceptionally(new PeerException(PeerException.Kind.QUEUE_FULL, "queue to " + address));
                return reply;
            }
            long id = ++lastId;
            waiting.put(id, new Waiting(message, reply));
            if (ready) {
                transmit(id);
            } else {
                unsent.add(id);
            }
        }
        return reply;
    }

    void close() {
        end(new PeerException(PeerException.Kind.DISCONNECTED, "the link is closed"), true);
    }

    private void opened(Connection connection) {
        synchronized (this) {
            channel = new FrameChannel(connection, codec, traffic, limits);
            if (closed) {
                channel.close();
                return;
            }
        }
        channel.onClose(() -> end(null, true));
        channel.receive(this::received, fault -> end(fault, true));
        // Both neighbouring versions accept a greeting in the newest version of this side.
        channel.send(codec.maxVersion(), HELLO_ID, hello);
        expire(HELLO_ID);
    }

    /** Runs only while requests are in flight; an idle connection costs no timers. */
    private void schedulePing() {
        pinging = true;
        channel.channel().eventLoop().schedule(this::ping, limits.pingMillis(), TimeUnit.MILLISECONDS);
    }

    /** Runs on the thread of the connection, like {@link #received}. */
    private void ping() {
        synchronized (this) {
            if (closed || waiting.values().stream().noneMatch(Waiting::needsPing)) {
                pinging = false;
                silentPings = 0;
                return;
            }
        }
        silentPings++;
        if (silentPings > MAX_SILENT_PINGS) {
            end(new PeerException(PeerException.Kind.TIMEOUT, address + " is silent"), true);
            return;
        }
        if (silentPings > 1) {
            request(new Ping(silentPings));
        }
        schedulePing();
    }

    private void received(Frame frame) {
        silentPings = 0;
        if (frame.id() == HELLO_ID) {
            if (frame.message() instanceof Hello peer) {
                greeted(peer);
            } else if (frame.message() instanceof GoAway notice) {
                goneAway(notice);
            } else {
                end(new PeerException(PeerException.Kind.REFUSED, address + " answered " + frame.message()), true);
            }
            return;
        }
        Waiting request;
        synchronized (this) {
            request = waiting.remove(frame.id());
        }
        if (request == null) {
            return;
        }
        request.cancelTimer();
        if (frame.message() instanceof ErrorReply error) {
            request.reply.completeExceptionally(
                    new PeerException(PeerException.Kind.REFUSED, error.kind() + ": " + error.detail()));
        } else {
            request.reply.complete(frame.message());
        }
    }

    private synchronized void greeted(Hello peer) {
        version = Math.max(codec.minVersion(), Math.min(codec.maxVersion(), peer.maxVersion()));
        ready = true;
        for (Long id = unsent.poll(); id != null; id = unsent.poll()) {
            if (waiting.containsKey(id)) {
                transmit(id);
            }
        }
    }

    /** The calls that the peer does not take are still answered as refused, unless the connection ends before. */
    private synchronized void goneAway(GoAway notice) {
        lastTakenId = Math.min(lastTakenId, notice.lastTakenId());
    }

    private void transmit(long id) {
        Waiting request = waiting.get(id);
        boolean sent;
        try {
            sent = channel.send(version, id, request.message);
        } catch (FrameException e) {
            waiting.remove(id);
            request.reply.completeExceptionally(e);
            return;
        }
        if (!sent) {
            waiting.remove(id);
            request.reply.completeExceptionally(
                    new PeerException(PeerException.Kind.QUEUE_FULL, "queue to " + address));
            return;
        }
        request.timer = expire(id);
        if (limits.pingMillis() > 0 && !pinging && request.needsPing()) {
            schedulePing();
        }
    }

    private ScheduledFuture<?> expire(long id) {
        return channel.channel().eventLoop().schedule(() -> expired(id), limits.replyMillis(), TimeUnit.MILLISECONDS);
    }

    private void expired(long id) {
        Waiting request;
        synchronized (this) {
            if (id == HELLO_ID && ready) {
                return;
            }
            request = waiting.remove(id);
        }
        PeerException failure = new PeerException(PeerException.Kind.TIMEOUT, "no reply from " + address);
        if (id == HELLO_ID) {
            end(failure, false);
        } else if (request != null) {
            request.reply.completeExceptionally(failure);
        }
    }

    private void end(Throwable cause, boolean wasOpen) {
        Map<Long, Waiting> lost;
        boolean greeted;
        long taken;
        synchronized (this) {
            if (closed) {
                return;
            }
            closed = true;
            greeted = ready;
            taken = lastTakenId;
            lost = new HashMap<>(waiting);
            waiting.clear();
            unsent.clear();
        }
        onClose.accept(this, wasOpen && greeted);
        if (channel != null) {
            channel.close();
        }
        lost.forEach((id, request) -> {
            request.cancelTimer();
            request.reply.completeExceptionally(
                    new PeerException(endKind(greeted, id > taken), "connection to " + address, cause));
        });
    }

    private static PeerException.Kind endKind(boolean greeted, boolean leftOut) {
        if (!greeted) {
            return PeerException.Kind.UNREACHABLE;
        }
        return leftOut ? PeerException.Kind.LEAVING : PeerException.Kind.DISCONNECTED;
    }

    private static final class Waiting {
        private final Message message;
        private final CompletableFuture<Message> reply;
        private ScheduledFuture<?> timer;

        Waiting(Message message, CompletableFuture<Message> reply) {
            this.message = message;
            this.reply = reply;
        }

        /** A question that waits at the peer has an end of its own, which the asking side watches. */
        boolean needsPing() {
            return !(message instanceof SourceQuery query && query.waitMillis() > 0);
        }

        void cancelTimer() {
            if (timer != null) {
                timer.cancel(false);
            }
        }
    }
}
