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
import io.jaywick.core.message.SuspectReport;
import io.jaywick.core.placement.InstanceSelector;
import io.jaywick.core.rules.RuleSet;
import io.jaywick.node.frame.FrameCodec;
import io.jaywick.node.peer.LinkLimits;
import io.jaywick.node.peer.MessageHandlers;
import io.jaywick.node.peer.PeerServer;
import io.jaywick.node.peer.PeerTraffic;
import io.jaywick.node.peer.TcpPeerLink;
import io.jaywick.node.settings.SocketAddressParser;
import io.micrometer.core.instrument.Tags;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoop;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.resources.LoopResources;

/**
 * One node that relays calls. It applies each view of the fleet that the platform's reader publishes, and becomes ready
 * with the first view that has rules and instances.
 */
public final class Relay implements AutoCloseable {

    /** Frames that may be queued for one peer; a call and its response are one frame each. */
    private static final int MAX_QUEUED_FRAMES = 2_048;

    /**
     * Distant nodes respond within tens of milliseconds; calls wait behind an attempt to connect to an unreachable one.
     */
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    /** Calls have their own deadlines; this timeout only removes requests that a peer never replies to. */
    private static final long REPLY_TIMEOUT_MILLIS = 120_000;

    private static final long IDLE_TIMEOUT_MILLIS = 60_000;

    /** An unresponsive connection is closed after four intervals, about one second. */
    private static final long PING_INTERVAL_MILLIS = 250;

    /** A restarting peer is reachable again within seconds. */
    private static final long MAX_BACKOFF_MILLIS = 500;

    /** Interval at which a draining node checks whether it may shut down. */
    private static final long DRAIN_CHECK_INTERVAL_MILLIS = 50;

    /**
     * A drain lasts at least this long within the grace period, because the platform detects that a node is not ready
     * only after two probes, one per second.
     */
    private static final long READINESS_DETECTION_MILLIS = 2_300;

    /**
     * Fraction of the grace period after which calls of local callers are refused, so that calls accepted before can
     * complete in the remainder. Callers that still send calls at that time have no other node to use.
     */
    private static final double REFUSE_AFTER_GRACE_FRACTION = 0.45;

    /**
     * Fraction of the grace period during which a draining node still accepts calls to its target that are expected to
     * end before the shutdown: the node waits that long for its callers anyway, and other targets may be at capacity.
     */
    private static final double ACCEPT_DURING_GRACE_FRACTION = 0.25;

    /** Time between the planned shutdown and the forced end of the process. */
    private static final long SHUTDOWN_MARGIN_MILLIS = 500;

    /**
     * Calls must be answered this long before the planned shutdown, so that a response that the target sends at the
     * deadline is still forwarded.
     */
    private static final long RESPONSE_MARGIN_MILLIS = 150;

    private static final int STATUS_OK = 200;
    private static final int STATUS_UNAVAILABLE = 503;

    private final RelaySettings settings;
    private final RelayLog log;
    private final EventLoop loop;
    private final CrashSuspects suspects;
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
    private boolean refusingCallsToLocalTarget;
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
        this.suspects = new CrashSuspects(context, link);
        handlers.register(SuspectReport.class, message -> suspects.handle((SuspectReport) message));
        this.localTarget = new LocalTarget(context, pool, suspects);
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
        registry.gauge("jaywick.target.suspects", suspects, CrashSuspects::size);
        registry.more().counter("jaywick.target.crashes", Tags.empty(), suspects, CrashSuspects::crashCount);
        registry.gauge("jaywick.target.connections", pool, TargetPool::openConnections);
    }

    private static void requireAddresses(RelaySettings settings) {
        parseAddress(settings.targetAddress());
        parseAddress(settings.outboundAddress());
    }

    private static InetSocketAddress parseAddress(String text) {
        InetSocketAddress address = SocketAddressParser.parse(text);
        if (address == null) {
            throw new IllegalArgumentException("expected an address IP:PORT, found: " + text);
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

    /** Applies a newer view of the fleet; may be called from any thread. */
    public void updateView(FleetView newer) {
        loop.execute(() -> {
            view = newer;
            localTarget.viewChanged();
            suspects.viewChanged();
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

    /** Registers the provider from which queries of peers are answered, and returns this node's access to its peers. */
    public PeerSource registerSourceState(SourceStateProvider provider) {
        sourceState.provider = provider;
        return sourceExchange;
    }

    /** Delegates to the registered provider; before that there is no state and the source is unreachable. */
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

    /** Address to which local callers send their calls. */
    public InetSocketAddress outboundAddress() {
        return clientListener.address();
    }

    /**
     * Drains the node: its readiness probe fails, each connection of a local caller is closed after its next response,
     * and after a part of the grace period other nodes are notified to send their calls elsewhere. The future completes
     * when no call is in flight, or shortly before the forced end of the process.
     */
    public CompletableFuture<Void> drain() {
        loop.execute(() -> {
            if (draining) {
                return;
            }
            draining = true;
            drainStartNanos = nanoTime.getAsLong();
            log.info(
                    "node drain started",
                    "callsUnderWay",
                    outboundCalls.inFlight(),
                    "takenFromPeers",
                    peerCalls.accepted());
            long endMillis = settings.graceMillis() - SHUTDOWN_MARGIN_MILLIS - RESPONSE_MARGIN_MILLIS;
            drainDeadline.set(drainStartNanos + TimeUnit.MILLISECONDS.toNanos(Math.max(0, endMillis)));
            localTarget.setShutdownDeadline(drainDeadline.endNanos());
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
        if (elapsedMillis >= settings.graceMillis() * ACCEPT_DURING_GRACE_FRACTION) {
            refuseCallsToLocalTarget(elapsedMillis);
        }
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
            log.info("node drained", "afterMillis", elapsedMillis);
            stopped.complete(null);
        } else if (isOverdue) {
            abortCalls(elapsedMillis);
        }
    }

    private void refuseCallsToLocalTarget(long elapsedMillis) {
        if (refusingCallsToLocalTarget) {
            return;
        }
        refusingCallsToLocalTarget = true;
        log.info(
                "draining node refuses calls to its target",
                "afterMillis",
                elapsedMillis,
                "running",
                localTarget.running(),
                "waiting",
                localTarget.waiting());
        localTarget.refuseNew();
        peerServer.sendGoAway();
    }

    /** Aborts the calls in flight; their responses are written before the next drain check, which ends the drain. */
    private void abortCalls(long elapsedMillis) {
        callsAborted = true;
        log.info(
                "calls in flight aborted",
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
