package io.jaywick.node.relay;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;

import io.jaywick.core.admission.SuspectList;
import io.jaywick.core.admission.SuspectPolicy;
import io.jaywick.core.fleet.FleetView;
import io.jaywick.core.message.Hello;
import io.jaywick.core.message.PeerEntry;
import io.jaywick.core.message.SourceQuery;
import io.jaywick.core.message.SourceState;
import io.jaywick.core.message.SuspectReport;
import io.jaywick.core.placement.InstanceSelector;
import io.jaywick.core.retry.NestedCalls;
import io.jaywick.core.rules.RuleSet;
import io.jaywick.node.frame.FrameCodec;
import io.jaywick.node.http.StatusServer;
import io.jaywick.node.peer.LinkLimits;
import io.jaywick.node.peer.MessageHandlers;
import io.jaywick.node.peer.PeerServer;
import io.jaywick.node.peer.PeerTraffic;
import io.jaywick.node.peer.TcpPeerLink;
import io.jaywick.node.settings.SocketAddressParser;
import io.micrometer.core.instrument.Tags;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoop;
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

    private static final int STATUS_OK = 200;
    private static final int STATUS_UNAVAILABLE = 503;

    private final RelaySettings settings;
    private final RelayLog log;
    private final EventLoop loop;
    private final SuspectReporter suspectReporter;
    private final LocalTarget localTarget;
    private final TargetPool pool;
    private final SharedRetryBudget retryBudget;
    private final OutboundCalls outboundCalls;
    private final PeerCalls peerCalls;
    private final ClientListener clientListener;
    private final PeerServer peerServer;
    private final TcpPeerLink link;
    private final StatusServer readyServer;
    private final StatusServer metricsServer;
    private final LongSupplier nanoTime;
    private final SourceExchange sourceExchange;
    private final DeferredSourceState sourceState = new DeferredSourceState();
    private final RelayDrain drain;
    private volatile FleetView view = new FleetView(RuleSet.EMPTY, List.of(), Set.of());
    private volatile boolean isReady;

    public Relay(RelaySettings settings, HeaderNames names, NodeRuntime runtime, PrometheusMeterRegistry registry) {
        requireAddresses(settings);
        RelayContext context = new RelayContext(settings, names, () -> view, runtime, new DrainDeadline());
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
        this.pool = new TargetPool(context, new UnmatchedResponses(registry, context.log()));
        SuspectList suspectList = new SuspectList(settings.region(), SuspectPolicy.CONCURRENT, nanoTime);
        this.suspectReporter = new SuspectReporter(context, link, suspectList);
        CrashSuspects suspects = new CrashSuspects(context, suspectList, suspectReporter);
        handlers.register(SuspectReport.class, message -> suspectReporter.handle((SuspectReport) message));
        RelayMeters meters = new RelayMeters(registry);
        this.retryBudget = new SharedRetryBudget(context, meters);
        this.localTarget = new LocalTarget(context, pool, suspects, new NestedCalls(retryBudget, runtime.random()));
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
        this.outboundCalls = new OutboundCalls(context, instanceSelector, retryBudget, localTarget, peerCalls, meters);
        this.peerServer = new PeerServer(settings.peerAddress(), handlers, codec, traffic, limits, loops);
        this.clientListener = new ClientListener(context, outboundCalls);
        this.drain = new RelayDrain(
                context, localTarget, outboundCalls, peerCalls, clientListener, peerServer, sourceExchange);
        this.readyServer = new StatusServer(
                loop, parseAddress(settings.readyAddress()), Map.of(settings.readyPath(), this::readiness));
        this.metricsServer = settings.metricsAddress() == null
                ? null
                : new StatusServer(
                        loop,
                        parseAddress(settings.metricsAddress()),
                        Map.of("/metrics", () -> new StatusServer.Page(STATUS_OK, "text/plain", registry.scrape())));
        registry.gauge("jaywick.calls.inflight", outboundCalls, OutboundCalls::inFlight);
        registry.gauge("jaywick.retry.nodes", retryBudget, SharedRetryBudget::nodeCount);
        registry.gauge("jaywick.target.running", localTarget, LocalTarget::running);
        registry.gauge("jaywick.target.waiting", localTarget, LocalTarget::waiting);
        registry.gauge("jaywick.target.cold", localTarget, target -> target.isCold() ? 1 : 0);
        registry.gauge("jaywick.target.rate.limit", localTarget, LocalTarget::rateLimit);
        registry.gauge("jaywick.target.leaving", localTarget, target -> target.isLeaving() ? 1 : 0);
        registry.gauge("jaywick.target.suspects", suspectList, SuspectList::size);
        registry.gauge("jaywick.target.suspect.crashes", suspectList, SuspectList::mostCrashes);
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

    private StatusServer.Page readiness() {
        return new StatusServer.Page(isReady && !isDraining() ? STATUS_OK : STATUS_UNAVAILABLE, null, "");
    }

    /** Connections to peers need the identity of this node while it is still being constructed. */
    private boolean isDraining() {
        return drain != null && drain.isStarted();
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
                isDraining());
    }

    /** Applies a newer view of the fleet; may be called from any thread. */
    public void updateView(FleetView newer) {
        loop.execute(() -> {
            view = newer;
            localTarget.viewChanged();
            suspectReporter.viewChanged();
            outboundCalls.viewChanged();
            retryBudget.viewChanged();
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
        public long era() {
            return provider == null ? 0 : provider.era();
        }

        @Override
        public long ageMillis() {
            return provider == null ? Long.MAX_VALUE : provider.ageMillis();
        }

        @Override
        public boolean isBehind(SourceQuery query) {
            return provider != null && provider.isBehind(query);
        }

        @Override
        public boolean isSourceReachable() {
            return provider != null && provider.isSourceReachable();
        }

        @Override
        public boolean isSourceConfirmed() {
            return provider != null && provider.isSourceConfirmed();
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
        loop.execute(drain::start);
        return drain.completed();
    }

    @Override
    public void close() {
        clientListener.close();
        peerServer.close();
        link.close();
        pool.close();
        readyServer.close();
        if (metricsServer != null) {
            metricsServer.close();
        }
    }
}
