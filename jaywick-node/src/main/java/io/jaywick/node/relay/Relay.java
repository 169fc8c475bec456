package io.jaywick.node.relay;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.jaywick.core.fleet.FleetView;
import io.jaywick.core.message.Hello;
import io.jaywick.core.message.PeerEntry;
import io.jaywick.core.message.SourceQuery;
import io.jaywick.core.message.SourceState;
import io.jaywick.core.placement.InstanceSelector;
import io.jaywick.core.rules.RuleSet;
import io.jaywick.node.frame.FrameCodec;
import io.jaywick.node.peer.LinkLimits;
import io.jaywick.node.peer.MessageHandlers;
import io.jaywick.node.peer.PeerServer;
import io.jaywick.node.peer.PeerTraffic;
import io.jaywick.node.peer.TcpPeerLink;
import io.jaywick.node.settings.SocketAddressParser;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoop;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.resources.LoopResources;

/**
 * One node that carries calls. It takes over each view of the fleet that the platform's reader publishes; it becomes
 * ready with the first one that has rules and instances.
 */
public final class Relay implements AutoCloseable {

    /** Frames that may wait for one peer; a call and its answer are one frame each. */
    private static final int QUEUE_FRAMES = 2_048;

    /** Far nodes answer in tens of milliseconds; calls wait behind an attempt to reach a dark one. */
    private static final int CONNECT_MILLIS = 500;

    /** Calls have deadlines of their own; this only ends what a peer forgot. */
    private static final long REPLY_MILLIS = 120_000;

    private static final long IDLE_MILLIS = 60_000;

    /** A silent connection is given up after four times this, about a second. */
    private static final long PING_MILLIS = 250;

    /** A peer that restarts is back within seconds. */
    private static final long MAX_BACKOFF_MILLIS = 500;

    /** How often a node that leaves looks whether it may end. */
    private static final long TICK_MILLIS = 50;

    /** The platform notices that a node is not ready after two questions, one a second. */
    private static final long LEAVE_NOTICE_MILLIS = 2_300;

    /**
     * From this part of the grace time on callers are refused, so that what was taken before can end in the rest; callers
     * that still come then have no other node to go to.
     */
    private static final double LEAVE_REFUSE_PART = 0.45;

    /** The process ends this long before it would be killed. */
    private static final long LEAVE_MARGIN_MILLIS = 500;

    /** Calls are promised an answer until this long before the end, so that a target's own late answer still passes. */
    private static final long LEAVE_ANSWER_MILLIS = 150;

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final RelaySettings settings;
    private final RelayLog log;
    private final EventLoop loop;
    private final LocalTarget local;
    private final TargetPool pool;
    private final OutboundCalls calls;
    private final PeerCalls peers;
    private final ClientListener clients;
    private final PeerServer peerServer;
    private final TcpPeerLink link;
    private final DisposableServer ready;
    private final DisposableServer metrics;
    private final LongSupplier nanoTime;
    private final SourceExchange source;
    private final LateKnowledge known = new LateKnowledge();
    private final LeaveDeadline leaveDeadline = new LeaveDeadline();
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private volatile FleetView view = new FleetView(RuleSet.EMPTY, List.of(), Set.of());
    private volatile boolean isReady;
    private volatile boolean leaving;
    private long leaveStartNanos;
    private boolean cut;

    public Relay(RelaySettings settings, HeaderNames names, NodeRuntime runtime, PrometheusMeterRegistry registry) {
        requireAddresses(settings);
        RelayContext context = new RelayContext(settings, names, () -> view, runtime, leaveDeadline);
        LoopResources loops = runtime.loops();
        this.settings = settings;
        this.log = runtime.log();
        this.nanoTime = runtime.nanoTime();
        this.loop = runtime.loop();
        MessageHandlers handlers = new MessageHandlers();
        FrameCodec codec = new FrameCodec();
        PeerTraffic traffic = new PeerTraffic();
        LinkLimits limits = new LinkLimits(
                QUEUE_FRAMES, CONNECT_MILLIS, REPLY_MILLIS, IDLE_MILLIS, PING_MILLIS, MAX_BACKOFF_MILLIS);
        this.link = new TcpPeerLink(codec, traffic, limits, loops, this::self, runtime.random());
        this.pool = new TargetPool(context);
        this.local = new LocalTarget(context, pool);
        this.peers = new PeerCalls(link, local, log);
        peers.register(handlers);
        handlers.register(
                Hello.class,
                message ->
                        CompletableFuture.completedFuture(new Hello(codec.minVersion(), codec.maxVersion(), self())));
        InstanceSelector placement = new InstanceSelector(
                settings.host(),
                settings.dataCentre(),
                settings.region(),
                settings.regionByDataCentre(),
                nanoTime,
                runtime.random());
        this.source = SourceExchange.of(settings, link, () -> view, placement, runtime, known);
        handlers.register(SourceQuery.class, message -> source.handleQuery((SourceQuery) message));
        this.calls = new OutboundCalls(context, placement, local, peers, new RelayMeters(registry));
        this.peerServer = new PeerServer(settings.peerAddress(), handlers, codec, traffic, limits, loops);
        this.clients = new ClientListener(context, calls);
        this.ready = HttpServer.create()
                .runOn(loops, false)
                .bindAddress(() -> address(settings.readyAddress()))
                .route(routes -> routes.get(settings.readyPath(), (request, response) -> response.status(
                                isReady && !leaving ? OK : UNAVAILABLE)
                        .send()))
                .bindNow();
        this.metrics = settings.metricsAddress() == null
                ? null
                : HttpServer.create()
                        .runOn(loops, false)
                        .bindAddress(() -> address(settings.metricsAddress()))
                        .route(routes -> routes.get(
                                "/metrics", (request, response) -> response.header("Content-Type", "text/plain")
                                        .sendString(Mono.fromSupplier(registry::scrape))))
                        .bindNow();
        registry.gauge("jaywick.calls.inflight", calls, OutboundCalls::inFlight);
        registry.gauge("jaywick.target.running", local, LocalTarget::running);
        registry.gauge("jaywick.target.waiting", local, LocalTarget::waiting);
        registry.gauge("jaywick.target.cold", local, target -> target.isCold() ? 1 : 0);
        registry.gauge("jaywick.target.connections", pool, TargetPool::openConnections);
    }

    private static void requireAddresses(RelaySettings settings) {
        address(settings.targetAddress());
        address(settings.outboundAddress());
    }

    private static InetSocketAddress address(String text) {
        InetSocketAddress address = SocketAddressParser.parse(text);
        if (address == null) {
            throw new IllegalArgumentException("not an address IP:PORT: " + text);
        }
        return address;
    }

    private PeerEntry self() {
        return new PeerEntry(
                settings.name(),
                settings.dataCentre(),
                settings.region(),
                settings.service(),
                settings.peerAddress(),
                settings.peerAddress(),
                0,
                0,
                leaving);
    }

    /** Takes over a newer view; may be called from any thread. */
    public void updateView(FleetView newer) {
        loop.execute(() -> {
            view = newer;
            local.viewChanged();
            calls.viewChanged();
            boolean usable = newer.rules().isLoaded() && !newer.instances().isEmpty();
            if (usable && !isReady) {
                isReady = true;
                log.info(
                        "node is ready",
                        "rulesVersion",
                        newer.rules().version(),
                        "routes",
                        newer.rules().routeCount(),
                        "instances",
                        newer.instances().size());
            }
        });
    }

    /** Lets this node ask and follow its peers, and answers their questions from what it holds. */
    public PeerSource registerSourceState(SourceStateProvider knowledge) {
        known.knowledge = knowledge;
        return source;
    }

    /** What is known of the source, once a reader of the source is there. */
    private static final class LateKnowledge implements SourceStateProvider {
        private SourceStateProvider knowledge;

        @Override
        public SourceState newerThan(SourceQuery query) {
            return knowledge == null ? null : knowledge.newerThan(query);
        }

        @Override
        public boolean isSourceReachable() {
            return knowledge != null && knowledge.isSourceReachable();
        }
    }

    /** Address at which callers beside the node send their calls. */
    public InetSocketAddress outboundAddress() {
        return clients.address();
    }

    /**
     * Leaves gracefully: the platform is told that the node is not ready, callers and other nodes are sent elsewhere,
     * and the future completes when nothing is under way, or shortly before the process would be killed.
     */
    public CompletableFuture<Void> drain() {
        loop.execute(() -> {
            if (leaving) {
                return;
            }
            leaving = true;
            leaveStartNanos = nanoTime.getAsLong();
            log.info("node leaves", "callsUnderWay", calls.inFlight(), "takenFromPeers", peers.taken());
            long lastMillis = settings.graceMillis() - LEAVE_MARGIN_MILLIS - LEAVE_ANSWER_MILLIS;
            leaveDeadline.set(leaveStartNanos + TimeUnit.MILLISECONDS.toNanos(Math.max(0, lastMillis)));
            local.leave(leaveDeadline.endNanos());
            peerServer.goAway();
            source.leave();
            clients.leave();
            loop.scheduleAtFixedRate(this::checkLeft, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
        });
        return stopped;
    }

    private void checkLeft() {
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(nanoTime.getAsLong() - leaveStartNanos);
        boolean last = elapsedMillis >= settings.graceMillis() - LEAVE_MARGIN_MILLIS;
        if (elapsedMillis >= settings.graceMillis() * LEAVE_REFUSE_PART) {
            calls.refuseNew();
        }
        if (elapsedMillis < LEAVE_NOTICE_MILLIS && !last) {
            return;
        }
        clients.closeIdle();
        boolean idle = !clients.hasBusyConnections() && local.running() == 0 && peers.taken() == 0;
        if (stopped.isDone()) {
            return;
        }
        if (idle || cut) {
            log.info("node has left", "afterMillis", elapsedMillis);
            stopped.complete(null);
        } else if (last) {
            cutCalls(elapsedMillis);
        }
    }

    /** Ends what is still under way; the answers are written before the process ends at the next look. */
    private void cutCalls(long elapsedMillis) {
        cut = true;
        log.info("calls are cut", "afterMillis", elapsedMillis, "calls", calls.inFlight(), "ofPeers", peers.taken());
        local.refuseWaiting();
        calls.endAll();
        peers.endAll();
    }

    @Override
    public void close() {
        clients.close();
        peerServer.close();
        link.close();
        pool.close();
        ready.disposeNow();
        if (metrics != null) {
            metrics.disposeNow();
        }
    }
}
