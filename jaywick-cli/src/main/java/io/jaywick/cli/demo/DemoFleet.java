package io.jaywick.cli.demo;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import io.jaywick.core.settings.CallsSettings;
import io.jaywick.core.settings.IdentitySettings;
import io.jaywick.core.settings.LimitsSettings;
import io.jaywick.core.settings.ListenSettings;
import io.jaywick.core.settings.NodeSettings;
import io.jaywick.core.settings.PeersSettings;
import io.jaywick.core.settings.RecordSettings;
import io.jaywick.core.settings.SourceSettings;
import io.jaywick.core.settings.TargetSettings;
import io.jaywick.core.settings.TraceSettings;
import io.jaywick.core.snapshot.Server;
import io.jaywick.core.snapshot.Service;
import io.jaywick.core.snapshot.Snapshot;
import io.jaywick.core.snapshot.SnapshotBuilder;
import io.jaywick.core.table.PackedTable;
import io.jaywick.core.verdict.TableVerdict;
import io.jaywick.node.Node;
import io.jaywick.node.NodeEnvironment;
import io.jaywick.node.source.HttpConfigSource;
import io.jaywick.node.source.HttpInstanceList;
import io.jaywick.node.source.InstanceEntry;
import io.jaywick.node.source.InstanceState;
import io.jaywick.node.trace.SpanLogExporter;
import io.jaywick.standin.instances.FakeInstanceList;
import io.jaywick.standin.source.FakeConfigService;
import io.jaywick.standin.source.PlatformServer;
import io.jaywick.standin.target.TargetBehaviour;
import io.jaywick.standin.target.TargetModel;
import io.jaywick.standin.target.TargetServer;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.resources.LoopResources;

/** A fleet in one process on loopback: the stand-ins of the platform, and one target and one node for each server. */
final class DemoFleet implements AutoCloseable {

    private static final int THREAD_COUNT = 4;
    private static final String EPHEMERAL_PORT_ADDRESS = "127.0.0.1:0";
    private static final long SERVICE_MILLIS = 4;
    private static final int COLD_FACTOR = 3;
    private static final double FALL_OVER_FACTOR = 3.0;
    private static final long TARGET_RESTART_MILLIS = 1_000;

    private static final PeersSettings PEERS = new PeersSettings(List.of(), 8, 1_000, 500, 300, 2_000, 2_000);
    private static final CallsSettings CALLS = new CallsSettings(3_000, 5_000, 64, 600_000, 100_000);
    private static final LimitsSettings LIMITS = new LimitsSettings(16, 10_000);
    private static final RecordSettings RECORD = new RecordSettings(1_000, 10_000);
    private static final TraceSettings TRACE = new TraceSettings(1_000_000);

    /** A server with its target and its node. */
    record Member(Server server, TargetServer target, Node node) {}

    private final Scheduler scheduler = Schedulers.newParallel("fleet", THREAD_COUNT, true);
    private final LoopResources loops = LoopResources.create("fleet-loop", THREAD_COUNT, true);
    private final FakeConfigService source = new FakeConfigService(scheduler);
    private final FakeInstanceList instances = new FakeInstanceList(scheduler);
    private final PlatformServer platform = new PlatformServer(source, instances);
    private final FleetObserver observer = new FleetObserver();
    private final Map<String, IdentitySettings> identitiesByAddress = new ConcurrentHashMap<>();
    private final Map<String, Member> membersByServer = new LinkedHashMap<>();
    private final FleetProfile profile;
    private final Consumer<String> usageLines;

    DemoFleet(FleetProfile profile, Map<String, byte[]> sheets, Consumer<String> usageLines) {
        this.profile = profile;
        this.usageLines = usageLines;
        source.publish(PackedTable.pack(sheets));
        Snapshot table = SnapshotBuilder.build(1, TableVerdict.ofSheets(sheets).content());
        for (Server server : table.servers().values()) {
            addMember(server, table.services().get(server.service()));
        }
        for (Member member : membersByServer.values()) {
            member.node.start();
        }
    }

    private void addMember(Server server, Service service) {
        TargetBehaviour behaviour = new TargetBehaviour(
                service.slotsPerServer(),
                service.coldStartCalls(),
                SERVICE_MILLIS,
                COLD_FACTOR,
                FALL_OVER_FACTOR,
                TARGET_RESTART_MILLIS);
        TargetServer target =
                new TargetServer(server.name(), new TargetModel(behaviour, System::nanoTime), scheduler, null);
        IdentitySettings identity = new IdentitySettings(
                server.name(), server.dataCentre().name(), server.dataCentre().region(), server.service());
        String platformAddress = "127.0.0.1:" + platform.address().getPort();
        NodeSettings settings = new NodeSettings(
                identity,
                new ListenSettings(
                        EPHEMERAL_PORT_ADDRESS, EPHEMERAL_PORT_ADDRESS, EPHEMERAL_PORT_ADDRESS, EPHEMERAL_PORT_ADDRESS),
                new TargetSettings(target.address()),
                new SourceSettings(platformAddress, profile.sourceRegion(), 4_000, 3_000, 2, 600_000),
                PEERS,
                CALLS,
                LIMITS,
                RECORD,
                TRACE);
        Node node = new Node(
                settings,
                new NodeEnvironment(
                        new HttpConfigSource(platform.address(), scheduler),
                        new HttpInstanceList(platform.address(), scheduler),
                        usageLines::accept,
                        new SpanLogExporter(line -> {}),
                        snapshot -> observer.recordAdoption(server.name(), snapshot),
                        link -> new DelayedLink(link, profile, identity, identitiesByAddress, scheduler),
                        scheduler,
                        loops,
                        new Random(server.name().hashCode()),
                        System.currentTimeMillis(),
                        true));
        identitiesByAddress.put(node.peerAddress(), identity);
        instances.put(new InstanceEntry(
                identity.server(),
                identity.dataCentre(),
                identity.region(),
                identity.service(),
                node.peerAddress(),
                node.ingressAddress(),
                InstanceState.LIVE));
        membersByServer.put(server.name(), new Member(server, target, node));
    }

    /** Publishes a new version of the table and returns its revision. */
    long publish(Map<String, byte[]> sheets) {
        return source.publish(PackedTable.pack(sheets));
    }

    FleetObserver observer() {
        return observer;
    }

    List<Member> members() {
        return List.copyOf(membersByServer.values());
    }

    long sourceCalls() {
        return source.callCount();
    }

    /** Returns the bytes of control traffic that a node sent and received, averaged over all nodes. */
    long controlBytesPerNode() {
        long bytes = 0;
        for (Member member : membersByServer.values()) {
            bytes += member.node.traffic().sentBytes() + member.node.traffic().receivedBytes();
        }
        return bytes / membersByServer.size();
    }

    /** Shuts down all nodes gracefully. The future completes when the last one has finished. */
    CompletableFuture<Void> shutDownNodes() {
        List<CompletableFuture<Void>> shutdowns = new ArrayList<>();
        for (Member member : membersByServer.values()) {
            shutdowns.add(member.node.shutDown());
        }
        return CompletableFuture.allOf(shutdowns.toArray(new CompletableFuture<?>[0]));
    }

    @Override
    public void close() {
        for (Member member : membersByServer.values()) {
            member.target.close();
        }
        platform.close();
        scheduler.dispose();
        loops.dispose();
    }
}
