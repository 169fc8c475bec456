package io.jaywick.cli.bench;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.jaywick.core.snapshot.Server;
import io.jaywick.core.snapshot.Snapshot;
import io.jaywick.node.peer.SpreadStrategy;
import io.jaywick.node.source.InstanceEntry;
import io.jaywick.node.source.SourceValue;
import org.HdrHistogram.Histogram;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.resources.LoopResources;

/** Runs all nodes of one measurement in this process; they communicate over loopback TCP. */
final class BenchFleet implements AutoCloseable {

    private static final int THREADS = 4;

    final SpreadStrategy strategy;
    final Scheduler scheduler = Schedulers.newParallel("bench", THREADS, true);
    final LoopResources loops = LoopResources.create("bench-io", THREADS, true);
    final RegionalTraffic regionalTraffic = new RegionalTraffic(scheduler);
    final BenchSource source;
    final String sourceRegion;
    private final BenchTable table;
    private final SplittableRandom random;
    private final Map<String, BenchNode> nodes = new LinkedHashMap<>();
    private volatile List<InstanceEntry> instances = List.of();
    private volatile EditProgress currentEdit;
    private long closedNodesSentBytes;
    private long closedNodesReceivedBytes;

    BenchFleet(SpreadStrategy strategy, long seed, int nodeCount) {
        this.strategy = strategy;
        this.random = new SplittableRandom(seed);
        this.table = new BenchTable(seed, nodeCount);
        List<Server> servers = table.servers();
        this.sourceRegion = servers.get(0).dataCentre().region();
        this.source = new BenchSource(scheduler, sourceRegion, regionalTraffic);
        source.publish(new SourceValue(1, table.packed(1)));
        for (Server server : servers) {
            nodes.put(server.name(), new BenchNode(server, this, random.split()));
        }
        updateInstanceList();
    }

    List<InstanceEntry> instances() {
        return instances;
    }

    int valueBytes() {
        return table.packed(1).length;
    }

    /** Starts all nodes and returns whether all of them activated the first version within the timeout. */
    boolean start(long timeoutMillis) throws InterruptedException {
        EditProgress progress = new EditProgress(1, nodes.values());
        currentEdit = progress;
        nodes.values().forEach(BenchNode::start);
        return progress.await(timeoutMillis);
    }

    /**
     * Publishes a revision and waits until all nodes have activated it.
     *
     * @param restart whether to restart one data centre just before
     * @param millis receives the time that each node took to activate the revision
     * @return whether all nodes activated the revision within the timeout
     */
    boolean publishEdit(long revision, boolean restart, Histogram millis, long timeoutMillis)
            throws InterruptedException {
        byte[] packed = table.packed(revision);
        if (restart) {
            restartLastDataCentre();
        }
        EditProgress progress = new EditProgress(revision, nodes.values());
        currentEdit = progress;
        source.publish(new SourceValue(revision, packed));
        boolean converged = progress.await(timeoutMillis);
        progress.activationMillis.values().forEach(millis::recordValue);
        return converged;
    }

    void onSnapshot(BenchNode node, Snapshot snapshot) {
        EditProgress current = currentEdit;
        if (current != null) {
            current.recordActivation(node, snapshot.revision());
        }
    }

    /** Closes all nodes of the data centre whose name sorts last, and starts new ones with other addresses. */
    private void restartLastDataCentre() {
        String dataCentre = null;
        for (BenchNode node : nodes.values()) {
            String name = node.server.dataCentre().name();
            dataCentre = dataCentre == null || name.compareTo(dataCentre) > 0 ? name : dataCentre;
        }
        List<BenchNode> startedNodes = new ArrayList<>();
        for (BenchNode node : List.copyOf(nodes.values())) {
            if (node.server.dataCentre().name().equals(dataCentre)) {
                node.close();
                closedNodesSentBytes += node.traffic.sentBytes();
                closedNodesReceivedBytes += node.traffic.receivedBytes();
                BenchNode next = new BenchNode(node.server, this, random.split());
                nodes.put(node.server.name(), next);
                startedNodes.add(next);
            }
        }
        updateInstanceList();
        startedNodes.forEach(BenchNode::start);
    }

    private void updateInstanceList() {
        instances = nodes.values().stream().map(BenchNode::instance).toList();
    }

    /** Returns the bytes that the running nodes and the configuration service have sent. */
    long sentBytes() {
        return source.sentBytes.sum()
                + nodes.values().stream()
                        .mapToLong(node -> node.traffic.sentBytes())
                        .sum();
    }

    /** Returns the bytes that the nodes have received, including nodes that were closed for a restart. */
    long receivedBytes() {
        return closedNodesReceivedBytes
                + nodes.values().stream()
                        .mapToLong(node -> node.traffic.receivedBytes())
                        .sum();
    }

    long openConnections() {
        return nodes.values().stream().mapToLong(BenchNode::openConnections).sum();
    }

    @Override
    public void close() {
        nodes.values().forEach(BenchNode::close);
        loops.disposeLater().block();
        scheduler.dispose();
    }

    /** Tracks which nodes, of those running when a revision is published, have activated it. */
    private static final class EditProgress {
        private final long revision;
        private final long publishedNanos = System.nanoTime();
        private final Map<BenchNode, Long> activationMillis = new ConcurrentHashMap<>();
        private final CountDownLatch pendingNodes;

        EditProgress(long revision, Collection<BenchNode> nodes) {
            this.revision = revision;
            this.pendingNodes = new CountDownLatch(nodes.size());
        }

        void recordActivation(BenchNode node, long activeRevision) {
            if (activeRevision < revision) {
                return;
            }
            // A node that starts after the publication cannot activate the version earlier, so its start counts
            // instead.
            long startNanos = Math.max(publishedNanos, node.startNanos);
            long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            if (activationMillis.putIfAbsent(node, elapsedMillis) == null) {
                pendingNodes.countDown();
            }
        }

        boolean await(long timeoutMillis) throws InterruptedException {
            return pendingNodes.await(timeoutMillis, TimeUnit.MILLISECONDS);
        }
    }
}
