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

/** Distribution services on virtual time, with the fakes of the platform. The source stands on side 0. */
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
    private final Map<String, Place> places = new LinkedHashMap<>();
    private final Map<String, Running> running = new LinkedHashMap<>();
    private long incarnation;
    private int edits;

    private record Place(String server, String dataCentre, String region) {}

    private record Running(VirtualProcess process, DistributionService service) {}

    DistributionFleet(Scenario.Fleet given, VirtualTime time, BiConsumer<String, String> trace) {
        this.time = time;
        this.trace = trace;
        this.oracle = new DistributionOracle(time);
        this.network = new VirtualNetwork(time);
        VirtualScheduler platform = new VirtualScheduler(time, new VirtualProcess(PLATFORM, time, 0));
        this.source = new FakeConfigService(platform);
        this.instances = new FakeInstanceList(platform);
        int servers = given.servers() == null ? 18 : given.servers();
        int dataCentres = given.dataCentres() == null ? 6 : given.dataCentres();
        int regions = given.regions() == null ? 3 : given.regions();
        for (int i = 0; i < servers; i++) {
            int dataCentre = i % dataCentres;
            Place place = new Place("s" + (i + 1), "dc-" + (dataCentre + 1), "region-" + (dataCentre % regions + 1));
            places.put(place.server, place);
        }
        network.faults(
                given.lostShare() == null ? 0 : given.lostShare(),
                given.repeatedShare() == null ? 0 : given.repeatedShare(),
                given.lateMillis() == null ? 0 : given.lateMillis());
        publish(true);
        places.keySet().forEach(this::restart);
    }

    List<String> servers() {
        return List.copyOf(places.keySet());
    }

    List<String> serversIn(String region) {
        List<String> names = new ArrayList<>();
        for (Place place : places.values()) {
            if (place.region.equals(region)) {
                names.add(place.server);
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

    /** Servers whose process runs and is not paused. */
    List<String> awake() {
        List<String> names = new ArrayList<>();
        for (Map.Entry<String, Running> entry : running.entrySet()) {
            if (entry.getValue().process.isAlive() && !entry.getValue().process.isPaused()) {
                names.add(entry.getKey());
            }
        }
        return names;
    }

    /** Publishes an edit of the limit of a party, or one whose weights add up to 101. */
    void publish(boolean good) {
        edits++;
        long revision = source.publish(PackedTable.pack(sheets(edits, good ? 100 : 101)));
        oracle.published(revision, good);
        trace.accept("", "source publishes revision " + revision + (good ? "" : ", which is bad"));
    }

    void kill(String server) {
        Running old = running.get(server);
        if (old != null) {
            old.process.kill();
            old.service.close();
            trace.accept(server, "is killed");
        }
    }

    void restart(String server) {
        kill(server);
        Place place = places.get(server);
        VirtualProcess process = new VirtualProcess(server, time, 0);
        MessageHandlers handlers = new MessageHandlers();
        incarnation++;
        oracle.started(server);
        PeerEntry self =
                new PeerEntry(server, place.dataCentre, place.region, "svc", server, server, incarnation, 0, false);
        DistributionService service = new DistributionService(
                new DistributionConfig(self, SOURCE, PEERS),
                new DistributionService.Environment(
                        new ReachableSource(server),
                        instances,
                        network.connect(process, place.region, handlers),
                        handlers,
                        new VirtualScheduler(time, process),
                        time.random()),
                snapshot -> {
                    oracle.adopted(server, snapshot.revision());
                    trace.accept(server, "adopts revision " + snapshot.revision());
                },
                new TableVersionCheck(),
                io.jaywick.node.peer.SuspectExchange.NONE);
        running.put(server, new Running(process, service));
        instances.put(entry(place, server));
        service.start();
        trace.accept(server, "starts");
    }

    void pause(String server, long millis) {
        running.get(server).process.pause(TimeUnit.MILLISECONDS.toNanos(millis));
        trace.accept(server, "pauses for " + millis + " ms");
    }

    void cut(List<String> servers, int side) {
        servers.forEach(server -> network.side(server, side));
        trace.accept("", "cut off: " + servers);
    }

    void heal() {
        network.heal();
        trace.accept("", "the cuts heal");
    }

    /** Makes the instance list show addresses at which nobody listens, or the right ones again. */
    void instanceListWrong(boolean wrong) {
        instances.clearFaulty();
        if (wrong) {
            places.values().forEach(place -> instances.putFaulty(entry(place, "nobody")));
        }
    }

    private static InstanceEntry entry(Place place, String address) {
        return new InstanceEntry(
                place.server, place.dataCentre, place.region, "svc", address, address, InstanceState.LIVE);
    }

    private Map<String, byte[]> sheets(int edit, int weightPercent) {
        StringBuilder dataCentres = new StringBuilder("data_centre,region,state\n");
        StringBuilder servers = new StringBuilder("server,data_centre,service\n");
        List<String> listed = new ArrayList<>();
        for (Place place : places.values()) {
            if (!listed.contains(place.dataCentre)) {
                listed.add(place.dataCentre);
                dataCentres.append(place.dataCentre + "," + place.region + ",in\n");
            }
            servers.append(place.server + "," + place.dataCentre + ",svc\n");
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

    /** The source as one server reaches it; a server on another side gets no answer. */
    private final class ReachableSource implements ConfigSource {

        private final String server;

        ReachableSource(String server) {
            this.server = server;
        }

        @Override
        public CompletableFuture<SourceValue> read() {
            oracle.sourceCalled();
            return network.reaches(server, PLATFORM) ? source.read() : unreachable();
        }

        @Override
        public CompletableFuture<SourceValue> watch(long afterRevision) {
            oracle.sourceCalled();
            return network.reaches(server, PLATFORM) ? source.watch(afterRevision) : unreachable();
        }

        private CompletableFuture<SourceValue> unreachable() {
            return CompletableFuture.failedFuture(new UnreachableException(PLATFORM));
        }
    }
}
