package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.ToIntFunction;

/** A small deployment on loopback addresses: the store, and machines with one application server and one node each. */
final class Fleet implements AutoCloseable {

    /** What a case does; returns the number of broken promises that it saw. */
    interface Case {
        int run(Fleet fleet, boolean trouble) throws Exception;
    }

    static final String HOST = "ficu95.example";
    private static final int STORE_PORT = 8142;
    private static final int METRICS_PORT = 9464;
    private static final int START_TIMEOUT_MILLIS = 30_000;

    final Recorder record;
    final Store store;
    final List<Node> nodes = new ArrayList<>();
    final List<AppServer> servers = new CopyOnWriteArrayList<>();

    /** Ids of the requests that any server has begun to run. */
    private final Set<String> begun = ConcurrentHashMap.newKeySet();

    private final Path root;
    private final Path directory;
    private final String network;
    private final List<String> routeRows = new ArrayList<>();
    private final List<String> serviceRows = new ArrayList<>();
    private final List<String> formerIds = new CopyOnWriteArrayList<>();
    private String limits = "";
    private int version = 7;

    private Fleet(Path root, Path directory, Recorder record) throws IOException {
        this.root = root;
        this.directory = directory;
        this.record = record;
        this.network = freeNetwork();
        this.store = new Store(network + ".250", STORE_PORT);
    }

    /** Runs a case and exits: 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
    static void main(Path caseDirectory, Case reviewCase) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Recorder record = new Recorder(caseDirectory.resolve("record.txt"))) {
            record.add("START", "trouble", trouble);
            Path directory = Files.createTempDirectory("review");
            try (Fleet fleet = new Fleet(Path.of("").toAbsolutePath(), directory, record)) {
                // Ends the nodes also when this process is ended by a signal.
                Runtime.getRuntime().addShutdownHook(new Thread(() -> fleet.nodes.forEach(Node::kill)));
                int broken = reviewCase.run(fleet, trouble);
                exit = broken > 0 ? 1 : 0;
                record.add("RESULT", "broken", broken, "exit", exit);
                System.out.println((broken > 0 ? "rule broken: " : "rule held: ") + broken + " counted");
            } catch (Exception e) {
                record.add("COULD NOT RUN", "reason", e);
                e.printStackTrace();
            }
        } catch (IOException e) {
            e.printStackTrace();
        }
        System.exit(exit);
    }

    /** A random loopback network on which the ports of the stand-ins and of the metrics are free. */
    private static String freeNetwork() throws IOException {
        Random random = new Random();
        for (int i = 0; i < 20; i++) {
            String candidate = "127." + (20 + random.nextInt(200)) + "." + random.nextInt(250);
            try {
                new ServerSocket(STORE_PORT, 1, InetAddress.getByName(candidate + ".250")).close();
                new ServerSocket(METRICS_PORT, 1, InetAddress.getByName(candidate + ".1")).close();
                return candidate;
            } catch (IOException e) {
                // In use: try another one.
            }
        }
        throw new IOException("no free loopback address");
    }

    void setLimits(int maxHeaderBytes, long maxBodyBytes) {
        limits = "\"limits\":{\"max-header-bytes\":" + maxHeaderBytes + ",\"max-body-bytes\":" + maxBodyBytes
                + ",\"header-timeout\":\"3000ms\",\"idle-timeout\":\"15000ms\"},";
    }

    void addRoute(String name, String prefix, String kind, int timeoutMillis, String service) {
        routeRows.add("[\"" + name + "\",\"" + HOST + "\",\"" + prefix + "\",\"" + kind + "\",\"" + timeoutMillis
                + "ms\",\"800ms\",1,null,2,[],\"" + service + "\"]");
    }

    void addService(String name) {
        serviceRows.add("[\"" + name + "\",\"/health\",130,\"h1\",false,\"3s\",5.0]");
    }

    void writeConfig() {
        version++;
        store.put(
                "op/config",
                "{\"version\":\"" + String.format("%08x", version)
                        + "\",\"routes\":{\"columns\":[\"name\",\"host\",\"prefix\",\"kind\",\"timeout\","
                        + "\"target-latency\",\"priority\",\"weighted-services\",\"max-attempts\","
                        + "\"allowed-regions\",\"service\"],\"rows\":[" + String.join(",", routeRows)
                        + "]},\"services\":{\"columns\":[\"name\",\"health-path\",\"max-connections\",\"protocol\","
                        + "\"tls\",\"cold-start\",\"cold-per-s\"],\"rows\":[" + String.join(",", serviceRows) + "]},"
                        + limits + "\"base-version\":\"" + String.format("%08x", version - 1) + "\"}");
    }

    /** Adds a machine with a ready server and its node; the node starts at {@link #start}. */
    AppServer addMachine(
            String zone,
            String region,
            String service,
            int slots,
            ToIntFunction<HttpMessage> workMillis,
            ToIntFunction<HttpMessage> bodyBytes)
            throws IOException {
        int number = nodes.size() + 1;
        String host = network + "." + number;
        AppServer server =
                new AppServer(host, Node.APP_PORT, "i-" + number, service, slots, record, begun, workMillis, bodyBytes);
        servers.add(server);
        nodes.add(new Node(
                root,
                directory,
                "sidecar-" + zone + "-" + number,
                host,
                zone,
                region,
                service,
                "[platform]\naddress = \"" + network + ".250:" + STORE_PORT + "\"\nform = \"read\"\n"
                        + "writes-per-s = 400\nreads-per-s = 2000\nhistory = \"20s\"\nvalue-bytes = 1048576\n"
                        + "ttl-min = \"1000ms\""));
        writeEntry(server, host, zone, slots, 0);
        return server;
    }

    void writeEntry(AppServer server, String host, String zone, int slots, int coldMillis) {
        store.put(
                "servers/" + server.id,
                "{\"service\":\"" + server.service + "\",\"address\":\"" + host + ":" + Node.APP_PORT
                        + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":" + slots
                        + ",\"state\":\"ready\",\"cold-remaining\":\"" + coldMillis
                        + "ms\",\"sequence\":1,\"born\":"
                        + System.currentTimeMillis() + "}");
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Starts a new incarnation, with a new id, of a server that has ended; it is slow for some time. */
    void restartServer(int index, int slowMillis, int slowWorkMillis) throws IOException {
        AppServer former = servers.get(index);
        Node node = nodes.get(index);
        long slowUntilNanos = System.nanoTime() + slowMillis * 1_000_000L;
        AppServer restarted = new AppServer(
                node.host, Node.APP_PORT, former.id + "b", former.service, former.slotCount, record, begun, request ->
                        former.workMillis.applyAsInt(request)
                                + (System.nanoTime() < slowUntilNanos ? slowWorkMillis : 0), former.bodyBytes);
        servers.set(index, restarted);
        formerIds.add("servers/" + former.id);
        writeEntry(restarted, node.host, node.zone, former.slotCount, slowMillis);
    }

    void expireFormerEntries() {
        store.remove(List.copyOf(formerIds));
        formerIds.clear();
    }

    /** Whether any server has begun to run a request. */
    boolean hasBegun(String requestId) {
        return begun.contains(requestId);
    }

    void start() throws Exception {
        for (Node node : nodes) {
            node.start();
        }
        awaitReady();
    }

    void awaitReady() throws Exception {
        long endNanos = System.nanoTime() + START_TIMEOUT_MILLIS * 1_000_000L;
        for (Node node : nodes) {
            while (!node.isReady()) {
                if (System.nanoTime() > endNanos || !node.isAlive()) {
                    throw new IOException(node.name + " does not become ready");
                }
                Thread.sleep(50);
            }
            record.add("READY", "node", node.name);
        }
    }

    @Override
    public void close() throws IOException {
        for (Node node : nodes) {
            node.close();
        }
        for (AppServer server : servers) {
            server.close();
        }
        store.close();
        try (var files = Files.list(directory)) {
            for (Path file : files.toList()) {
                if (System.getenv("KEEP_LOGS") == null) {
                    Files.delete(file);
                } else {
                    System.out.println(file);
                }
            }
        }
    }
}
