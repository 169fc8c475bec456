package io.jaywick.node.peer;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;

import io.jaywick.core.distribution.Backoff;
import io.jaywick.core.distribution.FleetStatus;
import io.jaywick.core.distribution.VersionCheck;
import io.jaywick.core.distribution.VersionTracker;
import io.jaywick.core.membership.MembershipTable;
import io.jaywick.core.membership.MembershipView;
import io.jaywick.core.membership.Peer;
import io.jaywick.core.message.Ack;
import io.jaywick.core.message.Announce;
import io.jaywick.core.message.DeltaReply;
import io.jaywick.core.message.Digest;
import io.jaywick.core.message.FleetQuery;
import io.jaywick.core.message.Hello;
import io.jaywick.core.message.PeerEntry;
import io.jaywick.core.message.PeerLink;
import io.jaywick.core.message.PullRequest;
import io.jaywick.core.message.Report;
import io.jaywick.core.snapshot.Snapshot;
import io.jaywick.core.snapshot.SnapshotListener;
import io.jaywick.node.frame.FrameCodec;
import io.jaywick.node.source.ConfigSource;
import io.jaywick.node.source.InstanceEntry;
import io.jaywick.node.source.InstanceList;
import io.jaywick.node.source.InstanceState;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.scheduler.Scheduler;

/**
 * Keeps the configuration table and the membership view of one node up to date. See docs/design.md, section 4. The
 * methods may be called by any thread; the snapshot listener is called on the thread of the service.
 */
public final class DistributionService implements AutoCloseable {

    private static final Logger LOG = System.getLogger(DistributionService.class.getName());

    /** Delay of a tick above which the process counts as paused; failure detection then excludes the pause. */
    private static final long PAUSE_THRESHOLD_MILLIS = 5_000;

    private static final long LIST_TIMEOUT_MILLIS = 10_000;
    private static final int BOOTSTRAP_PEERS = 3;
    private static final int LOCAL_BOOTSTRAP_ROUNDS = 3;

    private final DistributionConfig config;
    private final InstanceList instances;
    private final NodeLoop loop;
    private final RandomGenerator random;
    private final MembershipTable membership;
    private final VersionTracker tracker;
    private final NodeState state;
    private final SourceWatcher watcher;
    private final PullClient pullClient;
    private final PullServer pullServer;
    private final Gossiper gossiper;
    private final FleetStatusReporter reporter;
    private final Backoff bootstrapBackoff;
    private final Backoff listBackoff;
    private Disposable bootstrapTimer = Disposables.disposed();
    private int bootstrapRounds;
    private long tickMillis;
    private volatile DistributionStatus status;

    /**
     * Creates a service that answers peers, but sends no requests before {@link #start}.
     *
     * @param listener is notified of each adopted snapshot
     * @param check decides which versions are accepted
     * @param suspects provides and receives the suspect entries carried by digests
     */
    public DistributionService(
            DistributionConfig config,
            Environment environment,
            SnapshotListener listener,
            VersionCheck check,
            SuspectExchange suspects) {
        this.config = config;
        this.instances = environment.instances();
        this.random = environment.random();
        this.loop = new NodeLoop(environment.scheduler());
        this.membership = new MembershipTable(config.self(), loop::nowMillis, random);
        this.tracker = new VersionTracker(check, listener);
        this.state = new NodeState(config, loop, random, membership, tracker, environment.link());
        this.watcher = new SourceWatcher(state, environment.source(), () -> onAdopted(true));
        this.pullClient =
                new PullClient(state, () -> onAdopted(false), membership::recordFailure, () -> queryPeers(false));
        this.pullServer = new PullServer(state);
        this.gossiper = new Gossiper(state, pullClient, watcher, suspects);
        this.reporter = new FleetStatusReporter(state);
        this.bootstrapBackoff = new Backoff(random);
        this.listBackoff = new Backoff(random);
        this.tickMillis = loop.nowMillis();
        refreshStatus();
        register(environment.handlers());
    }

    /** Starts to obtain a version, to exchange digests with peers and to report the active version. */
    public void start() {
        loop.execute(() -> {
            tickMillis = loop.nowMillis();
            if (config.strategy() == SpreadStrategy.NAIVE) {
                watcher.update();
                return;
            }
            readInstances();
            bootstrap();
            loop.schedule(random.nextLong(config.peers().digestIntervalMillis()), this::tick);
            loop.schedule(random.nextLong(config.peers().reportIntervalMillis()), this::report);
        });
    }

    /** Returns the servers known to this node. */
    public MembershipView membership() {
        return membership;
    }

    /** Returns the active snapshot, or null before the first version. */
    public Snapshot snapshot() {
        return tracker.active();
    }

    /** Returns the status of this node, at most one digest interval old. */
    public DistributionStatus status() {
        return status;
    }

    /** Queries which version is active on how many servers of the fleet. */
    public CompletableFuture<FleetStatus> fleetStatus() {
        CompletableFuture<FleetStatus> result = new CompletableFuture<>();
        loop.execute(() -> reporter.queryFleetStatus().whenComplete((fleet, failure) -> {
            if (failure == null) {
                result.complete(fleet);
            } else {
                result.completeExceptionally(failure);
            }
        }));
        return result;
    }

    /** Notifies the neighbours that this node is draining; gossip carries the update to the other nodes. */
    public void announceDraining() {
        loop.execute(() -> {
            PeerEntry self = membership.self();
            membership.updateSelf(new PeerEntry(
                    self.server(),
                    self.dataCentre(),
                    self.region(),
                    self.service(),
                    self.peerAddress(),
                    self.ingressAddress(),
                    self.incarnation(),
                    0,
                    true));
            state.roles().neighbours().forEach(gossiper::sendDigest);
        });
    }

    @Override
    public void close() {
        loop.close();
    }

    private void register(MessageHandlers handlers) {
        handlers.register(
                Hello.class,
                message -> loop.call(() ->
                        new Hello(FrameCodec.CURRENT_VERSION - 1, FrameCodec.CURRENT_VERSION, membership.self())));
        handlers.register(Digest.class, message -> loop.call(() -> gossiper.handle((Digest) message)));
        handlers.register(Announce.class, message -> loop.call(() -> gossiper.handle((Announce) message)));
        handlers.register(PullRequest.class, message -> loop.call(() -> pullServer.handle((PullRequest) message)));
        handlers.register(Report.class, message -> loop.call(() -> reporter.handle((Report) message)));
        handlers.register(FleetQuery.class, message -> loop.call(() -> reporter.handle((FleetQuery) message))
                .thenCompose(reply -> reply));
        handlers.register(
                DeltaReply.class,
                message -> loop.call(() -> {
                    if (tracker.offerDelta((DeltaReply) message) == VersionTracker.Outcome.ADOPTED) {
                        onAdopted(false);
                    }
                    return new Ack(state.self());
                }));
    }

    private void onAdopted(boolean fromSource) {
        LOG.log(Level.DEBUG, () -> config.self().server() + " adopted revision " + tracker.revision());
        state.updateRoles();
        gossiper.propagate(fromSource);
        if (config.strategy() != SpreadStrategy.NAIVE) {
            reporter.report();
        }
        refreshStatus();
    }

    private void tick() {
        long now = loop.nowMillis();
        long intervalMillis = config.peers().digestIntervalMillis();
        long delayMillis = now - tickMillis - intervalMillis;
        if (delayMillis > Math.max(PAUSE_THRESHOLD_MILLIS, intervalMillis)) {
            membership.excludePause(delayMillis);
        }
        tickMillis = now;
        loop.schedule(intervalMillis, this::tick);
        membership.publishView();
        state.updateRoles();
        gossiper.tick();
        watcher.update();
        refreshStatus();
    }

    private void report() {
        loop.schedule(config.peers().reportIntervalMillis(), this::report);
        reporter.report();
    }

    /** Queries some peers for their version until this node has one; afterwards only the periodic digests do so. */
    private void bootstrap() {
        if (tracker.active() != null) {
            return;
        }
        // Full transfers between regions are paid for, so the first rounds query peers of this region if any is known.
        boolean anyRegion = ++bootstrapRounds > LOCAL_BOOTSTRAP_ROUNDS;
        queryPeers(anyRegion);
        bootstrapTimer.dispose();
        bootstrapTimer = loop.schedule(bootstrapBackoff.nextDelayMillis(), this::bootstrap);
    }

    private void queryPeers(boolean anyRegion) {
        for (int i = 0; i < BOOTSTRAP_PEERS; i++) {
            Peer peer = gossiper.randomPeer(i == 0 ? gossiper::isInDataCentre : gossiper::isInRegion);
            gossiper.sendDigest(anyRegion || peer == null ? gossiper.randomPeer(any -> true) : peer);
        }
    }

    private void readInstances() {
        loop.await(instances.list(), LIST_TIMEOUT_MILLIS, (list, failure) -> {
            long delayMillis = config.source().instanceListIntervalMillis();
            if (failure == null && list != null) {
                listBackoff.reset();
                boolean first = membership.peers().isEmpty();
                membership.mergeInstanceList(toPeerEntries(list));
                if (first) {
                    state.updateRoles();
                    bootstrapBackoff.reset();
                    bootstrap();
                }
            } else {
                delayMillis = Math.min(delayMillis, listBackoff.nextDelayMillis());
            }
            loop.schedule(Math.max(delayMillis, 1), this::readInstances);
        });
    }

    private static List<PeerEntry> toPeerEntries(List<InstanceEntry> list) {
        List<PeerEntry> entries = new ArrayList<>(list.size());
        for (InstanceEntry instance : list) {
            entries.add(new PeerEntry(
                    instance.server(),
                    instance.dataCentre(),
                    instance.region(),
                    instance.service(),
                    instance.peerAddress(),
                    instance.ingressAddress(),
                    0,
                    0,
                    instance.state() == InstanceState.LEAVING));
        }
        return entries;
    }

    private void refreshStatus() {
        status = new DistributionStatus(
                tracker.revision(),
                tracker.hash(),
                tracker.lastRejected(),
                tracker.sourceStatus(),
                watcher.lastAnswerAgeMillis(),
                watcher.callCount(),
                tracker.conflictCount(),
                state.roles().aliveCount(),
                membership.peers().size() + 1,
                watcher.isReader(),
                state.roles().relayRank() < 2);
    }

    /**
     * External dependencies of the service.
     *
     * @param handlers registry of the peer server, to which the service adds its handlers
     * @param scheduler clock and timers; one of its workers runs the service
     * @param random used by the thread of the service only
     */
    public record Environment(
            ConfigSource source,
            InstanceList instances,
            PeerLink link,
            MessageHandlers handlers,
            Scheduler scheduler,
            RandomGenerator random) {}
}
