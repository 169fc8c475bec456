package io.jaywick.cli.bench.limits;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;

import io.jaywick.cli.virtual.VirtualNetwork;
import io.jaywick.cli.virtual.VirtualProcess;
import io.jaywick.cli.virtual.VirtualTime;
import io.jaywick.core.limits.LimitTiming;
import io.jaywick.core.limits.LimiterOptions;
import io.jaywick.core.message.QuotaRequest;
import io.jaywick.core.snapshot.Server;
import io.jaywick.core.snapshot.Snapshot;

/**
 * Runs many limiter cores in virtual time on a simulated network. Only the limiters are real: the propagation of table
 * versions, the fleet status and the instance list are models, reduced to what a limiter can observe of them.
 */
public final class LimitFleet {

    /** The party of all calls. */
    public static final String PARTY = "party";

    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long GOSSIP_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    private static final long REPORT_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long LIVENESS_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final LimitFleetOptions options;
    private final LimitStrategy strategy;
    private final VirtualTime time;
    private final VirtualNetwork network;
    private final FleetTables tables;
    private final LimitOracle oracle = new LimitOracle();
    private final Map<String, LimitNode> nodes = new LinkedHashMap<>();
    private final Map<String, Double> callsPerSecond = new LinkedHashMap<>();
    private final Set<String> possiblyRunning = new TreeSet<>();
    private Snapshot published;
    private long longestWindowMillis;
    private long receivedCalls;
    private long nextIncarnation;
    private boolean instanceListFaulty;
    private BiConsumer<String, String> trace = (server, text) -> {};

    public LimitFleet(LimitFleetOptions options, LimitStrategy strategy, VirtualTime time) {
        this.options = options;
        this.strategy = strategy;
        this.time = time;
        this.network = new VirtualNetwork(time);
        this.tables = new FleetTables(options);
        tables.setLimit(PARTY, options.limitCalls(), options.windowMillis());
        longestWindowMillis = options.windowMillis();
        published = tables.nextSnapshot();
        oracle.recordPublished(options.limitCalls(), options.windowMillis(), time.nowNanos());
        for (String server : new TreeSet<>(published.servers().keySet())) {
            start(server, !options.coldStart());
            nodes.get(server).adopt(published);
        }
    }

    public VirtualTime time() {
        return time;
    }

    public VirtualNetwork network() {
        return network;
    }

    public LimitOracle oracle() {
        return oracle;
    }

    /**
     * Sets the receiver of the trace: one line of text for each event, with the name of its server, or an empty name
     * for an event of the whole fleet.
     */
    public void trace(BiConsumer<String, String> sink) {
        trace = sink;
    }

    public Set<String> servers() {
        return nodes.keySet();
    }

    /** Returns the names of the roster's servers in a region, sorted. */
    public List<String> serversIn(String region) {
        return published.servers().values().stream()
                .filter(server -> server.dataCentre().region().equals(region))
                .map(Server::name)
                .sorted()
                .toList();
    }

    /** Returns how many calls have reached a running process, admitted or not. */
    public long receivedCalls() {
        return receivedCalls;
    }

    /** Sets the rate of calls at a server's egress port; zero stops them. */
    public void setDemand(String server, double ratePerSecond) {
        boolean idle = callsPerSecond.getOrDefault(server, 0.0) == 0;
        callsPerSecond.put(server, ratePerSecond);
        if (idle && ratePerSecond > 0) {
            scheduleCall(server);
        }
    }

    /** Sets the rate of calls at all servers to zero. */
    public void stopDemand() {
        callsPerSecond.replaceAll((server, rate) -> 0.0);
    }

    /** Kills the process of a server. */
    public void kill(String server) {
        nodes.get(server).process().kill();
        trace.accept(server, "killed");
    }

    /** Kills the process of a server and starts a new one under the same name. */
    public void restart(String server) {
        nodes.get(server).process().kill();
        start(server, false);
        trace.accept(server, "restarted");
    }

    public void pause(String server, long millis) {
        nodes.get(server).process().pause(TimeUnit.MILLISECONDS.toNanos(millis));
        trace.accept(server, "paused for " + millis + " ms");
    }

    /**
     * Pauses a process within an action, just before a clock reading.
     *
     * @param reads clock readings that the process makes before the pause
     */
    public void stall(String server, int reads, long millis) {
        nodes.get(server).process().stallAfterReads(reads, TimeUnit.MILLISECONDS.toNanos(millis));
        trace.accept(server, "stalls for " + millis + " ms after " + reads + " clock readings");
    }

    /** Puts servers on one side of a partition. All servers start on side 0. */
    public void cut(List<String> servers, int side) {
        servers.forEach(server -> network.assignToSide(server, side));
        trace.accept("", "side " + side + " of the partition holds " + servers);
    }

    public void heal() {
        network.healPartition();
        trace.accept("", "partition healed");
    }

    /** Makes the instance list omit some servers and list others under wrong addresses, or corrects it again. */
    public void setInstanceListFaulty(boolean faulty) {
        instanceListFaulty = faulty;
        trace.accept("", faulty ? "instance list is wrong" : "instance list is right");
    }

    /** Publishes a table version with a new limit and window for the party. */
    public void publishLimit(int limitCalls, long windowMillis) {
        tables.setLimit(PARTY, limitCalls, windowMillis);
        longestWindowMillis = Math.max(longestWindowMillis, windowMillis);
        oracle.recordPublished(limitCalls, windowMillis, time.nowNanos());
        publish("limit " + limitCalls + " in " + windowMillis + " ms");
        awaitSettled(published.revision());
    }

    /** Removes a server from the roster; its process keeps running until it is killed. */
    public void removeFromRoster(String server) {
        tables.removeServer(server);
        publish("roster without " + server);
    }

    /** Adds a server to the roster and starts its process unless one is running. */
    public void addToRoster(String server, String dataCentre) {
        tables.addServer(server, tables.dataCentre(dataCentre));
        publish("roster with " + server);
        if (!nodes.containsKey(server) || !nodes.get(server).process().isAlive()) {
            start(server, false);
        }
    }

    private void publish(String what) {
        published = tables.nextSnapshot();
        trace.accept("", "published revision " + published.revision() + ": " + what);
    }

    private void start(String server, boolean firstStart) {
        possiblyRunning.add(server);
        RandomGenerator random = time.random();
        double clockError = (2 * random.nextDouble() - 1) * options.clockErrorPpm();
        VirtualProcess process = new VirtualProcess(server, time, clockError);
        LimitNode node = new LimitNode(process, ++nextIncarnation);
        nodes.put(server, node);
        Server entry = published.servers().get(server);
        String region = entry == null ? "" : entry.dataCentre().region();
        LimitStrategy.Environment environment = new LimitStrategy.Environment(
                new LimiterOptions(
                        server, node.incarnation(), options.holdersPerParty(), options.grantMillis(), firstStart),
                network.connect(
                        process,
                        region,
                        message -> CompletableFuture.completedFuture(node.core().handle((QuotaRequest) message))),
                () -> liveMembers(node),
                this::address,
                (oldest, newest) -> allWithin(node, oldest, newest),
                process,
                random);
        node.core(strategy.create(environment));
        process.schedulePeriodically(TICK_NANOS, () -> node.core().tick());
        process.schedulePeriodically(GOSSIP_NANOS, () -> gossip(node));
        process.schedulePeriodically(REPORT_NANOS, () -> report(node));
    }

    private void gossip(LimitNode node) {
        List<String> names = new ArrayList<>(nodes.keySet());
        String peer = names.get(time.random().nextInt(names.size()));
        LimitNode other = nodes.get(peer);
        boolean canReachSource = network.reaches(node.process().name(), names.get(0));
        if (other.process().isAlive()
                && !other.process().isPaused()
                && other.snapshot() != null
                && network.reaches(node.process().name(), peer)) {
            adopt(node, other.snapshot());
        } else if (canReachSource && time.random().nextInt(4) == 0) {
            adopt(node, published);
        }
        if (peer.equals(names.get(0)) && canReachSource) {
            adopt(node, published);
        }
    }

    private void adopt(LimitNode node, Snapshot candidate) {
        if (candidate.revision() > node.revision()) {
            node.adopt(candidate);
            trace.accept(node.process().name(), "adopted revision " + candidate.revision());
        }
    }

    private void report(LimitNode node) {
        String name = node.process().name();
        for (LimitNode other : nodes.values()) {
            if (other.process().isAlive()
                    && network.reaches(name, other.process().name())) {
                other.recordReport(name, node.revision(), time.nowNanos());
            }
        }
    }

    private boolean allWithin(LimitNode node, long oldest, long newest) {
        for (String server : possiblyRunning) {
            Long revision = node.reportedRevisions().get(server);
            if (revision == null || revision < oldest || revision > newest) {
                return false;
            }
        }
        return true;
    }

    private List<String> liveMembers(LimitNode node) {
        long since = time.nowNanos() - LIVENESS_NANOS;
        List<String> live = new ArrayList<>();
        for (String server : nodes.keySet()) {
            if (server.equals(node.process().name()) || node.hasReportedSince(server, since)) {
                live.add(server);
            }
        }
        return live;
    }

    private String address(String server) {
        if (!instanceListFaulty) {
            return server;
        }
        List<String> names = new ArrayList<>(nodes.keySet());
        int index = names.indexOf(server);
        return index % 3 == 0 ? null : index % 3 == 1 ? names.get((index + 1) % names.size()) : server;
    }

    private void scheduleCall(String server) {
        double ratePerSecond = callsPerSecond.getOrDefault(server, 0.0);
        if (ratePerSecond <= 0) {
            return;
        }
        long gapNanos = (long) (-Math.log(1 - time.random().nextDouble()) / ratePerSecond * SECOND_NANOS);
        time.schedule(gapNanos, () -> {
            LimitNode node = nodes.get(server);
            node.process().execute(() -> handleCall(node));
            scheduleCall(server);
        });
    }

    private void handleCall(LimitNode node) {
        receivedCalls++;
        if (node.snapshot() != null
                && node.core().tryAcquire(node.snapshot().parties().get(PARTY))) {
            oracle.recordAdmitted(node.process().trueNanos());
        }
    }

    private void awaitSettled(long revision) {
        if (published.revision() > revision) {
            return;
        }
        for (LimitNode node : nodes.values()) {
            if (node.process().isAlive() && node.snapshot() != null && node.revision() < revision) {
                time.schedule(TICK_NANOS, () -> awaitSettled(revision));
                return;
            }
        }
        long graceNanos = LimitTiming.withDriftMargin(TimeUnit.MILLISECONDS.toNanos(options.grantMillis()))
                + 2 * LimitTiming.guardedWindowNanos(longestWindowMillis);
        time.schedule(graceNanos, () -> {
            if (published.revision() == revision) {
                oracle.recordSettled(time.nowNanos());
                trace.accept("", "revision " + revision + " settled");
            }
        });
    }
}
