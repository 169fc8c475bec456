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

/** Many nodes on virtual time with a fake link that delays, loses and counts messages. */
final class TestFleet implements AutoCloseable {

    static final long LATENCY_MILLIS = 1;
    static final long REGION_LATENCY_MILLIS = 12;

    final VirtualTimeScheduler time = VirtualTimeScheduler.create();
    final FakeSource source = new FakeSource(time);
    final TestTable table = new TestTable();
    final Map<String, Node> nodes = new LinkedHashMap<>();
    final List<InstanceEntry> list = new ArrayList<>();
    final Set<String> stuck = new HashSet<>();
    /** Tells whether a message is delivered. */
    Predicate<Message> delivers = message -> true;
    /** Tells whether one server can reach another. */
    BiPredicate<Node, Node> connected = (from, to) -> true;
    /** Tells whether a server can reach the configuration service. */
    Predicate<Node> reachesSource = node -> true;

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

    /** Adds servers to the roster, without starting them. */
    void roster(String region, String dataCentre, int servers) {
        for (int i = 1; i <= servers; i++) {
            String server = dataCentre + "-s" + i;
            if (nodes.containsKey(server)) {
                continue;
            }
            table.addServer(server, dataCentre, region);
            nodes.put(server, new Node(server, dataCentre, region));
            list.add(new InstanceEntry(
                    server, dataCentre, region, "svc", server + ":1", server + ":2", InstanceState.LIVE));
        }
    }

    /** Starts three regions of two data centres each and waits until they are quiet at revision 1. */
    void startThreeRegions(int servers) {
        for (String region : List.of("r1", "r2", "r3")) {
            roster(region, region + "a", servers);
            roster(region, region + "b", servers);
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

    /** Advances in steps until all running nodes hold the revision; returns the time taken, or fails. */
    long converge(long revision, long withinMillis) {
        return converge(
                revision,
                withinMillis,
                nodes.values().stream().filter(Node::isUp).toList());
    }

    long converge(long revision, long withinMillis, List<Node> expected) {
        for (long passed = 0; passed <= withinMillis; passed += 20) {
            if (expected.stream().allMatch(node -> node.revision() == revision)) {
                return passed;
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
        final List<Long> adopted = new ArrayList<>();
        final Map<String, Integer> sentByType = new HashMap<>();
        DistributionService service;
        MessageHandlers handlers;
        long bytes;
        /** Messages that arrive while the process is paused; null while it runs. */
        List<Runnable> paused;

        private FakeClock clock;

        Node(String server, String dataCentre, String region) {
            this.server = server;
            this.dataCentre = dataCentre;
            this.region = region;
        }

        boolean isUp() {
            return service != null;
        }

        long revision() {
            return service == null || service.snapshot() == null
                    ? 0
                    : service.snapshot().revision();
        }

        void start() {
            start(() -> CompletableFuture.completedFuture(List.copyOf(list)));
        }

        void start(io.jaywick.node.source.InstanceList instances) {
            PeerEntry self = new PeerEntry(
                    server, dataCentre, region, "svc", server + ":1", server + ":2", incarnation++, 0, false);
            SourceSettings sourceSettings = new SourceSettings("", sourceRegion, 4_000, 3_000, 2, 600_000);
            PeersSettings peers = new PeersSettings(seeds, 8, 1_000, 500, 300, 2_000, 2_000);
            handlers = new MessageHandlers();
            clock = new FakeClock();
            adopted.clear();
            service = new DistributionService(
                    new DistributionConfig(self, sourceSettings, peers),
                    new DistributionService.Environment(
                            source.view(() -> reachesSource.test(this)),
                            instances,
                            this::send,
                            handlers,
                            clock,
                            new Random(random.nextLong())),
                    snapshot -> adopted.add(snapshot.revision()),
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

        /** Stops all timers and messages of the process. */
        void pause() {
            paused = new ArrayList<>();
        }

        /** Runs everything that fell due during the pause. */
        void resume() {
            List<Runnable> late = paused;
            paused = null;
            late.forEach(Runnable::run);
        }

        private CompletableFuture<Message> send(String address, Message message) {
            CompletableFuture<Message> reply = new CompletableFuture<>();
            Node peer = nodes.get(address.substring(0, address.indexOf(':')));
            count(message);
            sentByType.merge(message.getClass().getSimpleName(), 1, Integer::sum);
            if (peer != null
                    && (stuck.contains(peer.server) || !delivers.test(message) || !connected.test(this, peer))) {
                return reply;
            }
            if (peer != null && !peer.region.equals(region)) {
                countAcross(message);
            }
            long latency = peer != null && peer.region.equals(region) ? LATENCY_MILLIS : REGION_LATENCY_MILLIS;
            time.schedule(
                    () -> {
                        if (peer == null || !peer.isUp()) {
                            reply.completeExceptionally(
                                    new PeerException(PeerException.Kind.UNREACHABLE, address + " refused"));
                            return;
                        }
                        peer.handlers.handle(message).whenComplete((answer, failure) -> {
                            peer.count(answer);
                            if (!peer.region.equals(region)) {
                                countAcross(answer);
                            }
                            time.schedule(() -> reply.complete(answer), latency, TimeUnit.MILLISECONDS);
                        });
                    },
                    latency,
                    TimeUnit.MILLISECONDS);
            return reply;
        }

        private void countAcross(Message message) {
            if (countBytes) {
                crossRegionBytes += codec.encode(FrameCodec.CURRENT_VERSION, 1, message).length;
            }
        }

        private void count(Message message) {
            if (countBytes) {
                bytes += codec.encode(FrameCodec.CURRENT_VERSION, 1, message).length;
            }
        }

        /** Scheduler of one process, which holds back every task while the process is paused. */
        private final class FakeClock implements Scheduler {
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
                if (paused == null) {
                    task.run();
                } else {
                    paused.add(task);
                }
            }
        }
    }
}
