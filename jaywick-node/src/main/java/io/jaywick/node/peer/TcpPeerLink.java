package io.jaywick.node.peer;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.jaywick.core.distribution.Backoff;
import io.jaywick.core.message.Hello;
import io.jaywick.core.message.Message;
import io.jaywick.core.message.PeerEntry;
import io.jaywick.core.message.PeerLink;
import io.jaywick.node.frame.FrameCodec;
import reactor.netty.resources.LoopResources;

/**
 * Sends messages over one TCP connection per peer, opened on first use and closed when idle. Each connection has its
 * own bounded queue, so that a slow peer does not delay others. After a failed connection attempt, requests to that
 * peer fail at once until its backoff has elapsed.
 */
public final class TcpPeerLink implements PeerLink, AutoCloseable {

    private static final int MAX_TRACKED_FAILURES = 4_096;

    private final Map<String, PeerConnection> connections = new ConcurrentHashMap<>();
    private final Map<String, Failure> failures = new ConcurrentHashMap<>();
    private final FrameCodec codec;
    private final PeerTraffic traffic;
    private final LinkLimits limits;
    private final LoopResources loops;
    private final Supplier<PeerEntry> self;
    private final RandomGenerator random;
    private volatile boolean closed;

    /**
     * Creates a link without connections.
     *
     * @param self identity sent in the first message of each connection
     * @param random jitter of the backoff; used by several threads
     */
    public TcpPeerLink(
            FrameCodec codec,
            PeerTraffic traffic,
            LinkLimits limits,
            LoopResources loops,
            Supplier<PeerEntry> self,
            RandomGenerator random) {
        this.codec = codec;
        this.traffic = traffic;
        this.limits = limits;
        this.loops = loops;
        this.self = self;
        this.random = random;
    }

    @Override
    public CompletableFuture<Message> request(String peerAddress, Message message) {
        if (closed) {
            return failed(PeerException.Kind.UNREACHABLE, "the link is closed");
        }
        PeerConnection connection = connections.get(peerAddress);
        CompletableFuture<Message> reply = connection == null ? null : connection.request(message);
        if (reply != null) {
            return reply;
        }
        Failure failure = failures.get(peerAddress);
        if (failure != null && System.nanoTime() - failure.backoffEndNanos < 0) {
            return failed(PeerException.Kind.UNREACHABLE, peerAddress + " is in backoff after a failed connection");
        }
        connection = connections.computeIfAbsent(peerAddress, this::open);
        reply = connection.request(message);
        connection.start();
        return reply == null
                ? failed(PeerException.Kind.DISCONNECTED, "connection closed before the request: " + peerAddress)
                : reply;
    }

    public int openConnections() {
        return connections.size();
    }

    private PeerConnection open(String address) {
        Hello hello = new Hello(codec.minVersion(), codec.maxVersion(), self.get());
        return new PeerConnection(address, codec, traffic, limits, loops, hello, this::onConnectionClosed);
    }

    private void onConnectionClosed(PeerConnection connection, boolean wasOpen) {
        connections.remove(connection.address(), connection);
        if (wasOpen) {
            failures.remove(connection.address());
            return;
        }
        if (failures.size() >= MAX_TRACKED_FAILURES) {
            failures.clear();
        }
        failures.compute(connection.address(), (address, known) -> {
            Failure failure = known == null ? new Failure(new Backoff(random, limits.maxBackoffMillis())) : known;
            failure.backoffEndNanos = System.nanoTime() + failure.backoff.nextDelayMillis() * 1_000_000;
            return failure;
        });
    }

    private static CompletableFuture<Message> failed(PeerException.Kind kind, String message) {
        return CompletableFuture.failedFuture(new PeerException(kind, message));
    }

    @Override
    public void close() {
        closed = true;
        connections.values().forEach(PeerConnection::close);
    }

    private static final class Failure {
        private final Backoff backoff;
        private volatile long backoffEndNanos;

        Failure(Backoff backoff) {
            this.backoff = backoff;
        }
    }
}
