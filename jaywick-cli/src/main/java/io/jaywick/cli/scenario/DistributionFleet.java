package io.jaywick.cli.scenario;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import io.jaywick.cli.virtual.UnreachableException;
import io.jaywick.cli.virtual.VirtualNetwork;
import io.jaywick.cli.virtual.VirtualProcess;
import io.jaywick.cli.virtual.VirtualScheduler;
import io.jaywick.cli.virtual.VirtualTime;
import io.jaywick.core.distribution.TableVersionCheck;
import io.jaywick.core.message.PeerEntry;
import io.jaywick.core.settings.PeersSettings;
import io.jaywick.core.settings.SourceSettings;
import io.jaywick.core.table.PackedTable;
import io.jaywick.node.peer.DistributionConfig;
import io.jaywick.node.peer.DistributionService;
import io.jaywick.node.peer.MessageHandlers;
import io.jaywick.node.source.ConfigSource;
import io.jaywick.node.source.InstanceEntry;
import io.jaywick.node.source.InstanceState;
import io.jaywick.node.source.SourceValue;
import io.jaywick.standin.instances.FakeInstanceList;
import io.jaywick.standin.source.FakeConfigService;

/**
 * Fleet of distribution services on virtual time, with fakes of the configuration service and of the instance list. In
 * a partition the configuration service is on side 0.
 */
final class DistributionFleet {

    private static final SourceSettings SOURCE = new SourceSettings("", "region-1", 4_000, 3_000, 2, 600_000);
    private static final PeersSettings PEERS = new PeersSettings(List.of(), 8, 1_000, 500, 300, 2_000, 2_000);
    private static final String PLATFORM = "platform";

    private final VirtualTime time;
    private final VirtualNetwork network;
    private final BiConsumer<String, String> trace;
    private final DistributionOracle oracle;
    private final FakeConfigService source;
    private final FakeInstanceList instances;
    private final Map<String, ServerLocation> locations = new LinkedHashMap<>();
    private final Map<String, RunningServer> runningServers = new LinkedHashMap<>();
    private long incarnation;
    private int edits;

    private record ServerLocation(String server, String dataCentre, String region) {}

    private record RunningServer(VirtualProcess process, DistributionService service) {}

    DistributionFleet(Scenario.Fleet options, VirtualTime time, BiConsumer<String, String> trace) {
        this.time = time;
        this.trace = trace;
        this.oracle = new DistributionOracle(time);
        this.network = new VirtualNetwork(time);
        VirtualScheduler platform = new VirtualScheduler(time, new VirtualProcess(PLATFORM, time, 0));
        this.source = new FakeConfigService(platform);
        this.instances = new FakeInstanceList(platform);
        int servers = options.servers() == null ? 18 : options.servers();
        int dataCentres = options.dataCentres() == null ? 6 : options.dataCentres();
        int regions = options.regions() == null ? 3 : options.regions();
        for (int i = 0; i < servers; i++) {
            int dataCentre = i % dataCentres;
            ServerLocation location =
                    new ServerLocation("s" + (i + 1), "dc-" + (dataCentre + 1), "region-" + (dataCentre % regions + 1));
            locations.put(location.server, location);
        }
        network.setFaults(
                options.lostShare() == null ? 0 : options.lostShare(),
                options.repeatedShare() == null ? 0 : options.repeatedShare(),
                options.lateMillis() == null ? 0 : options.lateMillis());
        publish(true);
        locations.keySet().forEach(this::restart);
    }

    List<String> servers() {
        return List.copyOf(locations.keySet());
    }

    List<String> serversIn(String region) {
        List<String> names = new ArrayList<>();
        for (ServerLocation location : locations.values()) {
            if (location.region.equals(region)) {
                names.add(location.server);
            }
        }
        return names;
    }

    DistributionOracle oracle() {
        return oracle;
    }

    FakeConfigService source() {
        return source;
    }

    /** Returns the servers whose process is alive and not paused. */
    List<String> activeServers() {
        List<String> names = new ArrayList<>();
        for (Map.Entry<String, RunningServer> entry : runningServers.entrySet()) {
            if (entry.getValue().process.isAlive() && !entry.getValue().process.isPaused()) {
                names.add(entry.getKey());
            }
        }
        return names;
    }

    /** Publishes an edit of a client account's limit; the weights of an invalid edit add up to 101. */
    void publish(boolean valid) {
        edits++;
        long revision = source.publish(PackedTable.pack(sheets(edits, valid ? 100 : 101)));
        oracle.recordPublication(revision, valid);
        trace.accept("", "source published revision " + revision + (valid ? "" : ", which is invalid"));
    }

    void kill(String server) {
        RunningServer previous = runningServers.get(server);
        if (previous != null) {
            previous.process.kill();
            previous.service.close();
            trace.accept(server, "killed");
        }
    }

    void restart(String server) {
        kill(server);
        ServerLocation location = locations.get(server);
        VirtualProcess process = new VirtualProcess(server, time, 0);
        MessageHandlers handlers = new MessageHandlers();
        incarnation++;
        oracle.recordStart(server);
        PeerEntry self = new PeerEntry(
                server, location.dataCentre, location.region, "svc", server, server, incarnation, 0, false);
        DistributionService service = new DistributionService(
                new DistributionConfig(self, SOURCE, PEERS),
                new DistributionService.Environment(
                        new PartitionableSource(server),
                        instances,
                        network.connect(process, location.region, handlers),
                        handlers,
                        new VirtualScheduler(time, process),
                        time.random()),
                snapshot -> {
                    oracle.recordAdoption(server, snapshot.revision());
                    trace.accept(server, "adopted revision " + snapshot.revision());
                },
                new TableVersionCheck(),
                io.jaywick.node.peer.SuspectExchange.NONE);
        runningServers.put(server, new RunningServer(process, service));
        instances.put(instanceEntry(location, server));
        service.start();
        trace.accept(server, "starts");
    }

    void pause(String server, long millis) {
        runningServers.get(server).process.pause(TimeUnit.MILLISECONDS.toNanos(millis));
        trace.accept(server, "paused for " + millis + " ms");
    }

    void partition(List<String> servers, int side) {
        servers.forEach(server -> network.assignToSide(server, side));
        trace.accept("", "partition separates " + servers);
    }

    void heal() {
        network.healPartition();
        trace.accept("", "partition healed");
    }

    /** Makes the instance list return addresses without a listener, or the correct addresses again. */
    void setInstanceListFaulty(boolean faulty) {
        instances.clearFaulty();
        if (faulty) {
            locations.values().forEach(location -> instances.putFaulty(instanceEntry(location, "nobody")));
        }
    }

    private static InstanceEntry instanceEntry(ServerLocation location, String address) {
        return new InstanceEntry(
                location.server, location.dataCentre, location.region, "svc", address, address, InstanceState.LIVE);
    }

    private Map<String, byte[]> sheets(int edit, int weightPercent) {
        StringBuilder dataCentres = new StringBuilder("data_centre,region,state\n");
        StringBuilder servers = new StringBuilder("server,data_centre,service\n");
        List<String> listed = new ArrayList<>();
        for (ServerLocation location : locations.values()) {
            if (!listed.contains(location.dataCentre)) {
                listed.add(location.dataCentre);
                dataCentres.append(location.dataCentre + "," + location.region + ",in\n");
            }
            servers.append(location.server + "," + location.dataCentre + ",svc\n");
        }
        Map<String, byte[]> sheets = new LinkedHashMap<>();
        sheets.put("data-centres", bytes(dataCentres.toString()));
        sheets.put("servers", bytes(servers.toString()));
        sheets.put(
                "services",
                bytes("service,home_regions,slots_per_server,connections_per_server,cold_start_calls,timeout_millis\n"
                        + "svc,,12,110,2,1000\n"));
        sheets.put(
                "routes",
                bytes("route,path_prefix,service,weight_percent,idempotent,timeout_millis,home_regions,importance\n"
                        + "r,/r,svc," + weightPercent + ",true,1000,,1\n"));
        sheets.put(
                "parties",
                bytes("party,limit_calls,window_millis,agreed_share_percent,home_regions,importance\n" + "p,"
                        + (100 + edit) + ",1000,10,,1\n"));
        return sheets;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** The configuration service as seen by one server; calls fail while a partition separates the two. */
    private final class PartitionableSource implements ConfigSource {

        private final String server;

        PartitionableSource(String server) {
            this.server = server;
        }

        @Override
        public CompletableFuture<SourceValue> read() {
            oracle.recordSourceCall();
            return network.reaches(server, PLATFORM) ? source.read() : unreachable();
        }

        @Override
        public CompletableFuture<SourceValue> watch(long afterRevision) {
            oracle.recordSourceCall();
            return network.reaches(server, PLATFORM) ? source.watch(afterRevision) : unreachable();
        }

        private CompletableFuture<SourceValue> unreachable() {
            return CompletableFuture.failedFuture(new UnreachableException(PLATFORM));
        }
    }
}
