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
 * Keeps the table of one node current and knows the other nodes. See docs/design.md, section 4. Its methods may be
 * called by any thread; the snapshot listener is called on the thread of the service.
 */
public final class DistributionService implements AutoCloseable {

    private static final Logger LOG = System.getLogger(DistributionService.class.getName());

    /** A tick that is late by more than this means that the process did not run. */
    private static final long PAUSE_MILLIS = 5_000;

    private static final long LIST_TIMEOUT_MILLIS = 10_000;
    private static final int BOOTSTRAP_PEERS = 3;
    private static final int LOCAL_ROUNDS = 3;

    private final DistributionConfig config;
    private final InstanceList instances;
    private final NodeLoop loop;
    private final RandomGenerator random;
    private final MembershipTable membership;
    private final VersionTracker tracker;
    private final NodeState state;
    private final SourceWatcher watcher;
    private final Puller puller;
    private final PullServer server;
    private final Spreader spreader;
    private final FleetReporter reporter;
    private final Backoff bootstrapBackoff;
    private final Backoff listBackoff;
    private Disposable bootstrapTimer = Disposables.disposed();
    private int bootstrapRounds;
    private long tickMillis;
    private volatile DistributionStatus status;

    /**
     * Makes a service that answers peers and does nothing of its own accord before {@link #start}.
     *
     * @param listener is told of each adopted snapshot
     * @param check decides which versions are accepted
     * @param suspects takes and gives the suspects that travel in digests
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
        this.watcher = new SourceWatcher(state, environment.source(), () -> adopted(true));
        this.puller = new Puller(state, () -> adopted(false), membership::recordFailure, () -> askPeers(false));
        this.server = new PullServer(state);
        this.spreader = new Spreader(state, puller, watcher, suspects);
        this.reporter = new FleetReporter(state);
        this.bootstrapBackoff = new Backoff(random);
        this.listBackoff = new Backoff(random);
        this.tickMillis = loop.nowMillis();
        refreshStatus();
        register(environment.handlers());
    }

    /** Starts to answer peers, to look for a version and to spread it. */
    public void start() {
        loop.execute(() -> {
            tickMillis = loop.nowMillis();
            if (config.strategy() == SpreadStrategy.NAIVE) {
                watcher.step();
                return;
            }
            readInstances();
            bootstrap();
            loop.after(random.nextLong(config.peers().digestIntervalMillis()), this::tick);
            loop.after(random.nextLong(config.peers().reportIntervalMillis()), this::report);
        });
    }

    /** The servers that this node knows. */
    public MembershipView membership() {
        return membership;
    }

    /** The active snapshot, or null before the first version. */
    public Snapshot snapshot() {
        return tracker.active();
    }

    /** State of the versions on this node, at most one digest interval old. */
    public DistributionStatus status() {
        return status;
    }

    /** Which version is in force on how many servers of the fleet. */
    public CompletableFuture<FleetStatus> fleetStatus() {
        CompletableFuture<FleetStatus> result = new CompletableFuture<>();
        loop.execute(() -> reporter.status().whenComplete((fleet, failure) -> {
            if (failure == null) {
                result.complete(fleet);
            } else {
                result.completeExceptionally(failure);
            }
        }));
        return result;
    }

    /** Tells the peers that this node drains. */
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
            state.roles().neighbours().forEach(spreader::digestTo);
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
        handlers.register(Digest.class, message -> loop.call(() -> spreader.answer((Digest) message)));
        handlers.register(Announce.class, message -> loop.call(() -> spreader.answer((Announce) message)));
        handlers.register(PullRequest.class, message -> loop.call(() -> server.answer((PullRequest) message)));
        handlers.register(Report.class, message -> loop.call(() -> reporter.answer((Report) message)));
        handlers.register(FleetQuery.class, message -> loop.call(() -> reporter.answer((FleetQuery) message))
                .thenCompose(reply -> reply));
        handlers.register(
                DeltaReply.class,
                message -> loop.call(() -> {
                    if (tracker.offerDelta((DeltaReply) message) == VersionTracker.Outcome.ADOPTED) {
                        adopted(false);
                    }
                    return new Ack(state.self());
                }));
    }

    private void adopted(boolean fromSource) {
        LOG.log(Level.DEBUG, () -> config.self().server() + " adopted revision " + tracker.revision());
        state.renewRoles();
        spreader.adopted(fromSource);
        if (config.strategy() != SpreadStrategy.NAIVE) {
            reporter.report();
        }
        refreshStatus();
    }

    private void tick() {
        long now = loop.nowMillis();
        long interval = config.peers().digestIntervalMillis();
        long late = now - tickMillis - interval;
        if (late > Math.max(PAUSE_MILLIS, interval)) {
            membership.excludePause(late);
        }
        tickMillis = now;
        loop.after(interval, this::tick);
        membership.publishView();
        state.renewRoles();
        spreader.tick();
        watcher.step();
        refreshStatus();
    }

    private void report() {
        loop.after(config.peers().reportIntervalMillis(), this::report);
        reporter.report();
    }

    /** Asks some peers for their version until this node has one; the ticks go on comparing versions after that. */
    private void bootstrap() {
        if (tracker.active() != null) {
            return;
        }
        // The whole content is taken from the own region while somebody there has it; regional links are paid for.
        boolean anywhere = ++bootstrapRounds > LOCAL_ROUNDS;
        askPeers(anywhere);
        bootstrapTimer.dispose();
        bootstrapTimer = loop.after(bootstrapBackoff.nextDelayMillis(), this::bootstrap);
    }

    private void askPeers(boolean anywhere) {
        for (int i = 0; i < BOOTSTRAP_PEERS; i++) {
            Peer peer = spreader.randomPeer(i == 0 ? spreader::isInDataCentre : spreader::isInRegion);
            spreader.digestTo(anywhere || peer == null ? spreader.randomPeer(any -> true) : peer);
        }
    }

    private void readInstances() {
        loop.await(instances.list(), LIST_TIMEOUT_MILLIS, (list, failure) -> {
            long wait = config.source().instanceListIntervalMillis();
            if (failure == null && list != null) {
                listBackoff.reset();
                boolean first = membership.peers().isEmpty();
                membership.mergeInstanceList(entries(list));
                if (first) {
                    state.renewRoles();
                    bootstrapBackoff.reset();
                    bootstrap();
                }
            } else {
                wait = Math.min(wait, listBackoff.nextDelayMillis());
            }
            loop.after(Math.max(wait, 1), this::readInstances);
        });
    }

    private static List<PeerEntry> entries(List<InstanceEntry> list) {
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
                watcher.ageMillis(),
                watcher.calls(),
                tracker.conflictCount(),
                state.roles().aliveCount(),
                membership.peers().size() + 1,
                watcher.isReader(),
                state.roles().relayRank() < 2);
    }

    /**
     * What the service uses of its surroundings.
     *
     * @param handlers registry of the peer server, to which the service adds its handlers
     * @param scheduler clock and timers; one worker of it runs the service
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
