package io.jaywick.node;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.jaywick.core.distribution.FleetStatus;
import io.jaywick.core.distribution.TableVersionCheck;
import io.jaywick.core.limits.LimiterOptions;
import io.jaywick.core.membership.Member;
import io.jaywick.core.message.Laggard;
import io.jaywick.core.message.PeerEntry;
import io.jaywick.core.message.PeerLink;
import io.jaywick.core.message.QuotaRequest;
import io.jaywick.core.message.SuspectEntry;
import io.jaywick.core.record.PeerRecordState;
import io.jaywick.core.record.RecorderIdentity;
import io.jaywick.core.settings.IdentitySettings;
import io.jaywick.core.settings.ListenSettings;
import io.jaywick.core.settings.NodeSettings;
import io.jaywick.core.snapshot.Snapshot;
import io.jaywick.node.admin.AdminServer;
import io.jaywick.node.admin.AdminViews;
import io.jaywick.node.admin.NodeStatus;
import io.jaywick.node.frame.FrameCodec;
import io.jaywick.node.limits.QuotaService;
import io.jaywick.node.peer.DistributionConfig;
import io.jaywick.node.peer.DistributionService;
import io.jaywick.node.peer.DistributionStatus;
import io.jaywick.node.peer.LinkLimits;
import io.jaywick.node.peer.MessageHandlers;
import io.jaywick.node.peer.PeerServer;
import io.jaywick.node.peer.PeerTraffic;
import io.jaywick.node.peer.SuspectExchange;
import io.jaywick.node.peer.TcpPeerLink;
import io.jaywick.node.proxy.NodeLocation;
import io.jaywick.node.proxy.ProxyContext;
import io.jaywick.node.proxy.ProxyServer;
import io.jaywick.node.record.UsageRecordWriter;
import io.jaywick.node.settings.SocketAddressParser;
import io.jaywick.node.trace.Tracing;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import reactor.core.scheduler.Schedulers;

/**
 * One node, which connects distribution, proxy, limits and usage record. See docs/design.md, section 2. A graceful
 * shutdown first refuses new calls, then completes the calls in flight, writes the last lines of the usage record and
 * closes the peer links.
 */
public final class Node implements AutoCloseable {

    private static final Logger LOG = System.getLogger(Node.class.getName());

    private static final int MAX_SUSPECTS_PER_DIGEST = 4;

    private final IdentitySettings identity;
    private final ListenSettings listen;
    private final PrometheusMeterRegistry meters = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final PeerTraffic traffic = new PeerTraffic();
    private final Tracing tracing;
    private final TcpPeerLink tcpLink;
    private final PeerServer peerServer;
    private final ProxyServer proxy;
    private final DistributionService distribution;
    private final QuotaService quota;
    private final UsageRecordWriter recordWriter;
    private final NodeEnvironment environment;
    private final AdminServer admin;
    private final long startNanos = System.nanoTime();

    /** Binds the ports. The node joins the fleet when {@link #start} is called. */
    public Node(NodeSettings settings, NodeEnvironment environment) {
        this.environment = environment;
        this.identity = settings.node();
        this.listen = settings.listen();
        MessageHandlers handlers = new MessageHandlers();
        DeferredMembership members = new DeferredMembership();
        FrameCodec codec = new FrameCodec();
        this.tracing = new Tracing(environment.spans(), settings.trace().sampleOneIn());
        this.peerServer = new PeerServer(
                settings.listen().peerAddress(), handlers, codec, traffic, LinkLimits.DEFAULTS, environment.loops());
        this.tcpLink = new TcpPeerLink(
                codec, traffic, LinkLimits.DEFAULTS, environment.loops(), this::self, environment.random());
        PeerLink link = environment.linkDecorator().apply(tcpLink);
        this.recordWriter = new UsageRecordWriter(
                new RecorderIdentity(
                        identity.server(),
                        identity.dataCentre(),
                        identity.region(),
                        environment.incarnation(),
                        environment.random().nextLong()),
                settings.record(),
                environment.scheduler(),
                environment.usageLines(),
                () -> peerRecordStates(members));
        this.quota = new QuotaService(
                new LimiterOptions(
                        identity.server(),
                        environment.incarnation(),
                        settings.limits().holdersPerParty(),
                        settings.limits().grantMillis(),
                        environment.firstStart()),
                link,
                members,
                new FleetRevisionsMonitor(this::fleetStatus, System::nanoTime),
                environment.scheduler(),
                System::nanoTime,
                environment.random());
        handlers.register(QuotaRequest.class, quota);
        this.proxy = new ProxyServer(
                new ProxyContext(
                        new NodeLocation(identity.server(), identity.dataCentre(), identity.region()),
                        this::snapshot,
                        members,
                        quota,
                        recordWriter.recorder(),
                        settings.calls(),
                        environment.scheduler(),
                        System::nanoTime,
                        () -> Instant.ofEpochMilli(environment.scheduler().now(TimeUnit.MILLISECONDS)),
                        environment.random(),
                        meters,
                        tracing.tracer()),
                settings.listen().egressAddress(),
                settings.listen().ingressAddress(),
                settings.target().address());
        this.distribution = new DistributionService(
                new DistributionConfig(self(), settings.source(), settings.peers()),
                new DistributionService.Environment(
                        environment.source(),
                        environment.instances(),
                        link,
                        handlers,
                        environment.scheduler(),
                        environment.random()),
                this::onSnapshotActivated,
                new TableVersionCheck(),
                suspectExchange());
        members.set(distribution.membership());
        this.admin = new AdminServer(
                SocketAddressParser.parse(listen.adminAddress()),
                new AdminViews(
                        () -> true,
                        () -> snapshot() != null,
                        this::nodeStatus,
                        () -> fleetStatus().thenApply(Node::toAdminStatus),
                        meters::scrape,
                        recordWriter::currentLines));
        meters.gauge(
                "jaywick_revision", distribution, service -> service.status().revision());
        meters.gauge(
                "jaywick_peers_alive", distribution, service -> service.status().aliveServers());
        meters.gauge("jaywick_control_sent_bytes", traffic, PeerTraffic::sentBytes);
        meters.gauge("jaywick_control_received_bytes", traffic, PeerTraffic::receivedBytes);
    }

    /** Joins the fleet. */
    public void start() {
        distribution.start();
        LOG.log(
                Level.INFO,
                () -> "node " + identity.server() + " started: peers on " + peerServer.address() + ", callers on "
                        + egressAddress() + ", other nodes on "
                        + ingressAddress());
    }

    /**
     * Refuses new calls, waits for the calls in flight, writes the last lines of the usage record and closes the node.
     */
    public CompletableFuture<Void> shutDown() {
        distribution.announceDraining();
        // Closing blocks until the sockets are closed, which the timer threads of the node must not do.
        return proxy.shutDown()
                .whenCompleteAsync((ignored, failure) -> closeRemaining(), Schedulers.boundedElastic()::schedule);
    }

    /** Closes immediately and aborts calls in flight. */
    @Override
    public void close() {
        proxy.close();
        closeRemaining();
    }

    /** The active snapshot, or null before the first version. */
    public Snapshot snapshot() {
        return distribution == null ? null : distribution.snapshot();
    }

    public DistributionStatus status() {
        return distribution.status();
    }

    public CompletableFuture<FleetStatus> fleetStatus() {
        return distribution.fleetStatus();
    }

    public PeerTraffic traffic() {
        return traffic;
    }

    public PrometheusMeterRegistry meters() {
        return meters;
    }

    /** Returns the current lines of the usage record. */
    public List<String> usageLines() {
        return recordWriter.currentLines();
    }

    public IdentitySettings identity() {
        return identity;
    }

    public String peerAddress() {
        return peerServer.address();
    }

    public String egressAddress() {
        return withPort(listen.egressAddress(), proxy.egress().port());
    }

    public String ingressAddress() {
        return withPort(listen.ingressAddress(), proxy.ingress().port());
    }

    public String adminAddress() {
        return withPort(listen.adminAddress(), admin.address().getPort());
    }

    private static String withPort(String address, int port) {
        return address.substring(0, address.lastIndexOf(':') + 1) + port;
    }

    private PeerEntry self() {
        return new PeerEntry(
                identity.server(),
                identity.dataCentre(),
                identity.region(),
                identity.service(),
                peerServer.address(),
                ingressAddress(),
                environment.incarnation(),
                0,
                false);
    }

    private void onSnapshotActivated(Snapshot snapshot) {
        quota.onSnapshot(snapshot);
        recordWriter.recorder().onSnapshot(snapshot);
        environment.observer().onSnapshot(snapshot);
    }

    private NodeStatus nodeStatus() {
        DistributionStatus status = distribution.status();
        NodeStatus.Rejected rejected = status.lastRejected() == null
                ? null
                : new NodeStatus.Rejected(
                        status.lastRejected().revision(),
                        status.lastRejected().hash(),
                        status.lastRejected().problems());
        NodeStatus.SourceBehind behind =
                status.sourceStatus() != null && status.sourceStatus().regressed()
                        ? new NodeStatus.SourceBehind(status.sourceStatus().revision(), status.revision())
                        : null;
        return new NodeStatus(
                identity.server(),
                status.revision(),
                status.hash(),
                rejected,
                behind,
                status.conflictCount(),
                status.aliveServers(),
                TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
    }

    private static io.jaywick.node.admin.FleetStatus toAdminStatus(FleetStatus fleet) {
        List<io.jaywick.node.admin.FleetStatus.FleetLaggard> laggards = new ArrayList<>();
        for (Laggard laggard : fleet.laggards()) {
            laggards.add(new io.jaywick.node.admin.FleetStatus.FleetLaggard(laggard.server(), laggard.revision()));
        }
        return new io.jaywick.node.admin.FleetStatus(
                fleet.revision(), fleet.activeServers(), fleet.reportingServers(), fleet.rosterSize(), laggards);
    }

    private List<PeerRecordState> peerRecordStates(DeferredMembership members) {
        List<PeerRecordState> states = new ArrayList<>();
        for (Member member : members.members()) {
            if (!member.server().equals(identity.server()) && member.incarnation() > 0) {
                states.add(new PeerRecordState(member.server(), member.incarnation(), 0, 0, 0));
            }
        }
        return states;
    }

    private SuspectExchange suspectExchange() {
        return new SuspectExchange() {
            @Override
            public List<SuspectEntry> entriesFor(String region) {
                return proxy.suspectsFor(region, MAX_SUSPECTS_PER_DIGEST);
            }

            @Override
            public void merge(List<SuspectEntry> entries) {
                entries.forEach(proxy::mergeSuspect);
            }
        };
    }

    private void closeRemaining() {
        admin.close();
        quota.close();
        recordWriter.close();
        distribution.close();
        tcpLink.close();
        peerServer.close();
        tracing.close();
    }
}
