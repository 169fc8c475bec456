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

/** All nodes of one measurement in this process, over loopback TCP. */
final class BenchFleet implements AutoCloseable {

    private static final int THREADS = 4;

    final SpreadStrategy strategy;
    final Scheduler scheduler = Schedulers.newParallel("bench", THREADS, true);
    final LoopResources loops = LoopResources.create("bench-io", THREADS, true);
    final RegionalTraffic regional = new RegionalTraffic(scheduler);
    final BenchSource source;
    final String sourceRegion;
    private final BenchTable table;
    private final SplittableRandom random;
    private final Map<String, BenchNode> nodes = new LinkedHashMap<>();
    private volatile List<InstanceEntry> instances = List.of();
    private volatile Edit edit;
    private long endedSent;
    private long endedReceived;

    BenchFleet(SpreadStrategy strategy, long seed, int nodeCount) {
        this.strategy = strategy;
        this.random = new SplittableRandom(seed);
        this.table = new BenchTable(seed, nodeCount);
        List<Server> servers = table.servers();
        this.sourceRegion = servers.get(0).dataCentre().region();
        this.source = new BenchSource(scheduler, sourceRegion, regional);
        source.publish(new SourceValue(1, table.packed(1)));
        for (Server server : servers) {
            nodes.put(server.name(), new BenchNode(server, this, random.split()));
        }
        listInstances();
    }

    List<InstanceEntry> instances() {
        return instances;
    }

    int valueBytes() {
        return table.packed(1).length;
    }

    /** Starts all nodes; returns false when they did not all take up the first version in time. */
    boolean start(long timeoutMillis) throws InterruptedException {
        Edit first = new Edit(1, nodes.values());
        edit = first;
        nodes.values().forEach(BenchNode::start);
        return first.await(timeoutMillis);
    }

    /** Publishes a revision and waits until all nodes took it up; returns false when some did not in time. */
    boolean edit(long revision, boolean restart, Histogram millis, long timeoutMillis) throws InterruptedException {
        byte[] packed = table.packed(revision);
        if (restart) {
            restartOneDataCentre();
        }
        Edit next = new Edit(revision, nodes.values());
        edit = next;
        source.publish(new SourceValue(revision, packed));
        boolean converged = next.await(timeoutMillis);
        next.millis.values().forEach(millis::recordValue);
        return converged;
    }

    void adopted(BenchNode node, Snapshot snapshot) {
        Edit current = edit;
        if (current != null) {
            current.adopted(node, snapshot.revision());
        }
    }

    /** Ends all processes of the last data centre and starts new ones with other addresses. */
    private void restartOneDataCentre() {
        String dataCentre = null;
        for (BenchNode node : nodes.values()) {
            String name = node.server.dataCentre().name();
            dataCentre = dataCentre == null || name.compareTo(dataCentre) > 0 ? name : dataCentre;
        }
        List<BenchNode> started = new ArrayList<>();
        for (BenchNode node : List.copyOf(nodes.values())) {
            if (node.server.dataCentre().name().equals(dataCentre)) {
                node.close();
                endedSent += node.traffic.sentBytes();
                endedReceived += node.traffic.receivedBytes();
                BenchNode next = new BenchNode(node.server, this, random.split());
                nodes.put(node.server.name(), next);
                started.add(next);
            }
        }
        listInstances();
        started.forEach(BenchNode::start);
    }

    private void listInstances() {
        instances = nodes.values().stream().map(BenchNode::instance).toList();
    }

    /** Bytes that nodes and the configuration service sent. */
    long sentBytes() {
        return source.sentBytes.sum()
                + nodes.values().stream()
                        .mapToLong(node -> node.traffic.sentBytes())
                        .sum();
    }

    long receivedBytes() {
        return endedReceived
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

    /** One version on its way to the nodes that ran when it was published. */
    private static final class Edit {
        private final long revision;
        private final long publishedNanos = System.nanoTime();
        private final Map<BenchNode, Long> millis = new ConcurrentHashMap<>();
        private final CountDownLatch missing;

        Edit(long revision, Collection<BenchNode> nodes) {
            this.revision = revision;
            this.missing = new CountDownLatch(nodes.size());
        }

        void adopted(BenchNode node, long adopted) {
            if (adopted < revision) {
                return;
            }
            // A node that was started later cannot have had the version before its start.
            long since = Math.max(publishedNanos, node.startNanos);
            long taken = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - since);
            if (millis.putIfAbsent(node, taken) == null) {
                missing.countDown();
            }
        }

        boolean await(long timeoutMillis) throws InterruptedException {
            return missing.await(timeoutMillis, TimeUnit.MILLISECONDS);
        }
    }
}
