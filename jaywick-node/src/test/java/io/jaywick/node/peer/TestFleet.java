package io.jaywick.node.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import java.util.function.Predicate;

import io.jaywick.core.message.Message;
import io.jaywick.core.message.PeerEntry;
import io.jaywick.core.settings.PeersSettings;
import io.jaywick.core.settings.SourceSettings;
import io.jaywick.node.frame.FrameCodec;
import io.jaywick.node.source.InstanceEntry;
import io.jaywick.node.source.InstanceState;
import reactor.core.scheduler.Scheduler;
import reactor.test.scheduler.VirtualTimeScheduler;

/** A fleet of nodes on virtual time, with a simulated link that delays, drops and counts messages. */
final class TestFleet implements AutoCloseable {

    static final long LATENCY_MILLIS = 1;
    static final long REGION_LATENCY_MILLIS = 12;

    final VirtualTimeScheduler time = VirtualTimeScheduler.create();
    final FakeSource source = new FakeSource(time);
    final TestTable table = new TestTable();
    final Map<String, Node> nodes = new LinkedHashMap<>();
    final List<InstanceEntry> instanceList = new ArrayList<>();
    final Set<String> unresponsive = new HashSet<>();
    Predicate<Message> isDelivered = message -> true;
    /** Whether the first server can reach the second. */
    BiPredicate<Node, Node> isConnected = (from, to) -> true;
    /** Whether a server can reach the configuration service. */
    Predicate<Node> canReachSource = node -> true;

    List<String> seeds = List.of();
    String sourceRegion = "r1";
    boolean countBytes;
    long crossRegionBytes;
    private final FrameCodec codec = new FrameCodec();
    private final Random random;
    private long incarnation = 1;

    TestFleet(long seed) {
        System.out.println("seed " + seed);
        this.random = new Random(seed);
    }

    /** Adds servers to the roster and the instance list without starting them. */
    void addToRoster(String region, String dataCentre, int servers) {
        for (int i = 1; i <= servers; i++) {
            String server = dataCentre + "-s" + i;
            if (nodes.containsKey(server)) {
                continue;
            }
            table.addServer(server, dataCentre, region);
            nodes.put(server, new Node(server, dataCentre, region));
            instanceList.add(new InstanceEntry(
                    server, dataCentre, region, "svc", server + ":1", server + ":2", InstanceState.LIVE));
        }
    }

    /** Starts three regions of two data centres each, waits until all hold revision 1 and lets 10 s pass. */
    void startThreeRegions(int servers) {
        for (String region : List.of("r1", "r2", "r3")) {
            addToRoster(region, region + "a", servers);
            addToRoster(region, region + "b", servers);
        }
        source.publish(1, "one");
        startAll();
        converge(1, 20_000);
        advance(10_000);
    }

    void startAll() {
        nodes.values().forEach(Node::start);
    }

    void advance(long millis) {
        time.advanceTimeBy(java.time.Duration.ofMillis(millis));
    }

    /** Advances the time until all running nodes hold the revision; returns the milliseconds taken, or fails. */
    long converge(long revision, long withinMillis) {
        return converge(
                revision,
                withinMillis,
                nodes.values().stream().filter(Node::isRunning).toList());
    }

    long converge(long revision, long withinMillis, List<Node> expected) {
        for (long elapsedMillis = 0; elapsedMillis <= withinMillis; elapsedMillis += 20) {
            if (expected.stream().allMatch(node -> node.revision() == revision)) {
                return elapsedMillis;
            }
            advance(20);
        }
        throw new AssertionError("not at revision " + revision + " after " + withinMillis + " ms: "
                + expected.stream()
                        .filter(node -> node.revision() != revision)
                        .map(node -> node.server + "@" + node.revision())
                        .toList());
    }

    List<Node> inRegion(String region) {
        return nodes.values().stream()
                .filter(node -> node.region.equals(region))
                .toList();
    }

    List<Node> inDataCentre(String dataCentre) {
        return nodes.values().stream()
                .filter(node -> node.dataCentre.equals(dataCentre))
                .toList();
    }

    long bytes() {
        return nodes.values().stream().mapToLong(node -> node.bytes).sum();
    }

    @Override
    public void close() {
        nodes.values().forEach(Node::stop);
        time.dispose();
    }

    /** One server with at most one running instance. */
    final class Node {
        final String server;
        final String dataCentre;
        final String region;
        final List<Long> adoptedRevisions = new ArrayList<>();
        final Map<String, Integer> sentByType = new HashMap<>();
        DistributionService service;
        MessageHandlers handlers;
        long bytes;
        /** Timers and messages that are due while the process is paused; null while it runs. */
        List<Runnable> heldTasks;

        private PausableScheduler scheduler;

        Node(String server, String dataCentre, String region) {
            this.server = server;
            this.dataCentre = dataCentre;
            this.region = region;
        }

        boolean isRunning() {
            return service != null;
        }

        long revision() {
            return service == null || service.snapshot() == null
                    ? 0
                    : service.snapshot().revision();
        }

        void start() {
            start(() -> CompletableFuture.completedFuture(List.copyOf(instanceList)));
        }

        void start(io.jaywick.node.source.InstanceList instances) {
            PeerEntry self = new PeerEntry(
                    server, dataCentre, region, "svc", server + ":1", server + ":2", incarnation++, 0, false);
            SourceSettings sourceSettings = new SourceSettings("", sourceRegion, 4_000, 3_000, 2, 600_000);
            PeersSettings peers = new PeersSettings(seeds, 8, 1_000, 500, 300, 2_000, 2_000);
            handlers = new MessageHandlers();
            scheduler = new PausableScheduler();
            adoptedRevisions.clear();
            service = new DistributionService(
                    new DistributionConfig(self, sourceSettings, peers),
                    new DistributionService.Environment(
                            source.clientView(() -> canReachSource.test(this)),
                            instances,
                            this::send,
                            handlers,
                            scheduler,
                            new Random(random.nextLong())),
                    snapshot -> adoptedRevisions.add(snapshot.revision()),
                    table,
                    SuspectExchange.NONE);
            service.start();
        }

        void stop() {
            if (service != null) {
                service.close();
                service = null;
            }
        }

        /** Pauses the process: its timers and messages are held until {@link #resume}. */
        void pause() {
            heldTasks = new ArrayList<>();
        }

        /** Runs everything that fell due during the pause. */
        void resume() {
            List<Runnable> late = heldTasks;
            heldTasks = null;
            late.forEach(Runnable::run);
        }

        private CompletableFuture<Message> send(String address, Message message) {
            CompletableFuture<Message> reply = new CompletableFuture<>();
            Node peer = nodes.get(address.substring(0, address.indexOf(':')));
            countBytes(message);
            sentByType.merge(message.getClass().getSimpleName(), 1, Integer::sum);
            if (peer != null
                    && (unresponsive.contains(peer.server)
                            || !isDelivered.test(message)
                            || !isConnected.test(this, peer))) {
                return reply;
            }
            if (peer != null && !peer.region.equals(region)) {
                countCrossRegionBytes(message);
            }
            long latency = peer != null && peer.region.equals(region) ? LATENCY_MILLIS : REGION_LATENCY_MILLIS;
            time.schedule(
                    () -> {
                        if (peer == null || !peer.isRunning()) {
                            reply.completeExceptionally(
                                    new PeerException(PeerException.Kind.UNREACHABLE, address + " refused"));
                            return;
                        }
                        peer.handlers.handle(message).whenComplete((answer, failure) -> {
                            peer.countBytes(answer);
                            if (!peer.region.equals(region)) {
                                countCrossRegionBytes(answer);
                            }
                            time.schedule(() -> reply.complete(answer), latency, TimeUnit.MILLISECONDS);
                        });
                    },
                    latency,
                    TimeUnit.MILLISECONDS);
            return reply;
        }

        private void countCrossRegionBytes(Message message) {
            if (countBytes) {
                crossRegionBytes += codec.encode(FrameCodec.CURRENT_VERSION, 1, message).length;
            }
        }

        private void countBytes(Message message) {
            if (countBytes) {
                bytes += codec.encode(FrameCodec.CURRENT_VERSION, 1, message).length;
            }
        }

        /** Scheduler of one process that holds its tasks while the process is paused. */
        private final class PausableScheduler implements Scheduler {
            @Override
            public reactor.core.Disposable schedule(Runnable task) {
                return time.schedule(task);
            }

            @Override
            public long now(TimeUnit unit) {
                return time.now(unit);
            }

            @Override
            public Worker createWorker() {
                Worker worker = time.createWorker();
                return new Worker() {
                    @Override
                    public reactor.core.Disposable schedule(Runnable task) {
                        return worker.schedule(() -> runOrHold(task));
                    }

                    @Override
                    public reactor.core.Disposable schedule(Runnable task, long delay, TimeUnit unit) {
                        return worker.schedule(() -> runOrHold(task), delay, unit);
                    }

                    @Override
                    public void dispose() {
                        worker.dispose();
                    }
                };
            }

            private void runOrHold(Runnable task) {
                if (heldTasks == null) {
                    task.run();
                } else {
                    heldTasks.add(task);
                }
            }
        }
    }
}
