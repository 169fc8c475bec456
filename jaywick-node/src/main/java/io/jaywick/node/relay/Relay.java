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
    private static final int MAX_QUEUED_FRAMES = 2_048;

    /** Far nodes answer in tens of milliseconds; calls wait behind an attempt to reach a dark one. */
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    /** Calls have deadlines of their own; this only ends what a peer forgot. */
    private static final long REPLY_TIMEOUT_MILLIS = 120_000;

    private static final long IDLE_TIMEOUT_MILLIS = 60_000;

    /** A silent connection is given up after four times this, about a second. */
    private static final long PING_INTERVAL_MILLIS = 250;

    /** A peer that restarts is back within seconds. */
    private static final long MAX_BACKOFF_MILLIS = 500;

    /** How often a node that leaves looks whether it may end. */
    private static final long DRAIN_CHECK_INTERVAL_MILLIS = 50;

    /** The platform notices that a node is not ready after two questions, one a second. */
    private static final long READINESS_DETECTION_MILLIS = 2_300;

    /**
     * From this part of the grace time on callers are refused, so that what was taken before can end in the rest; callers
     * that still come then have no other node to go to.
     */
    private static final double REFUSE_AFTER_GRACE_FRACTION = 0.45;

    /** The process ends this long before it would be killed. */
    private static final long SHUTDOWN_MARGIN_MILLIS = 500;

    /** Calls are promised an answer until this long before the end, so that a target's own late answer still passes. */
    private static final long RESPONSE_MARGIN_MILLIS = 150;

    private static final int STATUS_OK = 200;
    private static final int STATUS_UNAVAILABLE = 503;

    private final RelaySettings settings;
    private final RelayLog log;
    private final EventLoop loop;
    private final LocalTarget localTarget;
    private final TargetPool pool;
    private final OutboundCalls outboundCalls;
    private final PeerCalls peerCalls;
    private final ClientListener clientListener;
    private final PeerServer peerServer;
    private final TcpPeerLink link;
    private final DisposableServer readyServer;
    private final DisposableServer metricsServer;
    private final LongSupplier nanoTime;
    private final SourceExchange sourceExchange;
    private final DeferredSourceState sourceState = new DeferredSourceState();
    private final DrainDeadline drainDeadline = new DrainDeadline();
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private volatile FleetView view = new FleetView(RuleSet.EMPTY, List.of(), Set.of());
    private volatile boolean isReady;
    private volatile boolean draining;
    private long drainStartNanos;
    private boolean callsAborted;

    public Relay(RelaySettings settings, HeaderNames names, NodeRuntime runtime, PrometheusMeterRegistry registry) {
        requireAddresses(settings);
        RelayContext context = new RelayContext(settings, names, () -> view, runtime, drainDeadline);
        LoopResources loops = runtime.loops();
        this.settings = settings;
        this.log = runtime.log();
        this.nanoTime = runtime.nanoTime();
        this.loop = runtime.loop();
        MessageHandlers handlers = new MessageHandlers();
        FrameCodec codec = new FrameCodec();
        PeerTraffic traffic = new PeerTraffic();
        LinkLimits limits = new LinkLimits(
                MAX_QUEUED_FRAMES,
                CONNECT_TIMEOUT_MILLIS,
                REPLY_TIMEOUT_MILLIS,
                IDLE_TIMEOUT_MILLIS,
                PING_INTERVAL_MILLIS,
                MAX_BACKOFF_MILLIS);
        this.link = new TcpPeerLink(codec, traffic, limits, loops, this::self, runtime.random());
        this.pool = new TargetPool(context);
        this.localTarget = new LocalTarget(context, pool);
        this.peerCalls = new PeerCalls(link, localTarget, log);
        peerCalls.register(handlers);
        handlers.register(
                Hello.class,
                message ->
                        CompletableFuture.completedFuture(new Hello(codec.minVersion(), codec.maxVersion(), self())));
        InstanceSelector instanceSelector = new InstanceSelector(
                settings.host(),
                settings.dataCentre(),
                settings.region(),
                settings.regionByDataCentre(),
                nanoTime,
                runtime.random());
        this.sourceExchange = SourceExchange.of(settings, link, () -> view, instanceSelector, runtime, sourceState);
        handlers.register(SourceQuery.class, message -> sourceExchange.handleQuery((SourceQuery) message));
        this.outboundCalls =
                new OutboundCalls(context, instanceSelector, localTarget, peerCalls, new RelayMeters(registry));
        this.peerServer = new PeerServer(settings.peerAddress(), handlers, codec, traffic, limits, loops);
        this.clientListener = new ClientListener(context, outboundCalls);
        this.readyServer = HttpServer.create()
                .runOn(loops, false)
                .bindAddress(() -> parseAddress(settings.readyAddress()))
                .route(routes -> routes.get(settings.readyPath(), (request, response) -> response.status(
                                isReady && !draining ? STATUS_OK : STATUS_UNAVAILABLE)
                        .send()))
                .bindNow();
        this.metricsServer = settings.metricsAddress() == null
                ? null
                : HttpServer.create()
                        .runOn(loops, false)
                        .bindAddress(() -> parseAddress(settings.metricsAddress()))
                        .route(routes -> routes.get(
                                "/metrics", (request, response) -> response.header("Content-Type", "text/plain")
                                        .sendString(Mono.fromSupplier(registry::scrape))))
                        .bindNow();
        registry.gauge("jaywick.calls.inflight", outboundCalls, OutboundCalls::inFlight);
        registry.gauge("jaywick.target.running", localTarget, LocalTarget::running);
        registry.gauge("jaywick.target.waiting", localTarget, LocalTarget::waiting);
        registry.gauge("jaywick.target.cold", localTarget, target -> target.isCold() ? 1 : 0);
        registry.gauge("jaywick.target.connections", pool, TargetPool::openConnections);
    }

    private static void requireAddresses(RelaySettings settings) {
        parseAddress(settings.targetAddress());
        parseAddress(settings.outboundAddress());
    }

    private static InetSocketAddress parseAddress(String text) {
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
                draining);
    }

    /** Takes over a newer view; may be called from any thread. */
    public void updateView(FleetView newer) {
        loop.execute(() -> {
            view = newer;
            localTarget.viewChanged();
            outboundCalls.viewChanged();
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
    public PeerSource registerSourceState(SourceStateProvider provider) {
        sourceState.provider = provider;
        return sourceExchange;
    }

    /** What is known of the source, once a reader of the source is there. */
    private static final class DeferredSourceState implements SourceStateProvider {
        private SourceStateProvider provider;

        @Override
        public SourceState newerThan(SourceQuery query) {
            return provider == null ? null : provider.newerThan(query);
        }

        @Override
        public boolean isSourceReachable() {
            return provider != null && provider.isSourceReachable();
        }
    }

    /** Address at which callers beside the node send their calls. */
    public InetSocketAddress outboundAddress() {
        return clientListener.address();
    }

    /**
     * Leaves gracefully: the platform is told that the node is not ready, callers and other nodes are sent elsewhere,
     * and the future completes when nothing is under way, or shortly before the process would be killed.
     */
    public CompletableFuture<Void> drain() {
        loop.execute(() -> {
            if (draining) {
                return;
            }
            draining = true;
            drainStartNanos = nanoTime.getAsLong();
            log.info("node leaves", "callsUnderWay", outboundCalls.inFlight(), "takenFromPeers", peerCalls.accepted());
            long endMillis = settings.graceMillis() - SHUTDOWN_MARGIN_MILLIS - RESPONSE_MARGIN_MILLIS;
            drainDeadline.set(drainStartNanos + TimeUnit.MILLISECONDS.toNanos(Math.max(0, endMillis)));
            localTarget.drain(drainDeadline.endNanos());
            peerServer.goAway();
            sourceExchange.drain();
            clientListener.drain();
            loop.scheduleAtFixedRate(
                    this::checkDrained,
                    DRAIN_CHECK_INTERVAL_MILLIS,
                    DRAIN_CHECK_INTERVAL_MILLIS,
                    TimeUnit.MILLISECONDS);
        });
        return stopped;
    }

    private void checkDrained() {
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(nanoTime.getAsLong() - drainStartNanos);
        boolean isOverdue = elapsedMillis >= settings.graceMillis() - SHUTDOWN_MARGIN_MILLIS;
        if (elapsedMillis >= settings.graceMillis() * REFUSE_AFTER_GRACE_FRACTION) {
            outboundCalls.refuseNew();
        }
        if (elapsedMillis < READINESS_DETECTION_MILLIS && !isOverdue) {
            return;
        }
        clientListener.closeWhenIdle();
        boolean idle = !clientListener.hasBusyConnections() && localTarget.running() == 0 && peerCalls.accepted() == 0;
        if (stopped.isDone()) {
            return;
        }
        if (idle || callsAborted) {
            log.info("node has left", "afterMillis", elapsedMillis);
            stopped.complete(null);
        } else if (isOverdue) {
            abortCalls(elapsedMillis);
        }
    }

    /** Ends what is still under way; the answers are written before the process ends at the next look. */
    private void abortCalls(long elapsedMillis) {
        callsAborted = true;
        log.info(
                "calls are cut",
                "afterMillis",
                elapsedMillis,
                "calls",
                outboundCalls.inFlight(),
                "ofPeers",
                peerCalls.accepted());
        localTarget.refuseQueued();
        outboundCalls.abortAll();
        peerCalls.abortAll();
    }

    @Override
    public void close() {
        clientListener.close();
        peerServer.close();
        link.close();
        pool.close();
        readyServer.disposeNow();
        if (metricsServer != null) {
            metricsServer.disposeNow();
        }
    }
}
