package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One safe request crashes each server that begins to run it; the server is back {@link #BACK_MILLIS} later. The request
 * comes again and again, at one machine after the other. Counts the arrivals beyond the first of each attempt that come
 * later than the bound {@code stability-window} after the third crash. The unsafe requests that were running at a server
 * when a retry crashed it are recorded as well.
 */
final class PoisonCase {

    static final int MACHINES = 6;
    static final int COMINGS = 16;
    static final int COMING_GAP_MILLIS = 2_500;
    static final int BACK_MILLIS = 2_000;
    static final int STABILITY_WINDOW_MILLIS = 3_000;
    static final int ALLOWED_RETRIES = 3;
    static final String POISON = "/lohu930/crash";

    private PoisonCase() {}

    public static void main(String[] args) throws Exception {
        Fleet.main(Path.of(args[0]), PoisonCase::run);
    }

    static int run(Fleet fleet, boolean trouble) throws Exception {
        fleet.setLimits(16_384, 67_108_864);
        fleet.addService("huvo11a");
        fleet.addRoute("r-1", "/lohu930/", "safe", 2_000, "huvo11a");
        fleet.addRoute("r-2", "/pufi791/", "unsafe", 2_500, "huvo11a");
        fleet.writeConfig();
        List<Long> crashNanos = new ArrayList<>();
        Map<String, Integer> arrivals = new ConcurrentHashMap<>();
        AtomicInteger lateRetries = new AtomicInteger();
        for (int i = 0; i < MACHINES; i++) {
            int index = i;
            String zone = i % 2 == 0 ? "caerdydd" : "wrecsam";
            fleet.addMachine(
                    zone,
                    i % 2 == 0 ? "de-cymru" : "gogledd",
                    "huvo11a",
                    6,
                    request -> {
                        if (request.target().equals(POISON)) {
                            crash(fleet, index, request, crashNanos, arrivals, lateRetries);
                        }
                        return request.method().equals("POST") ? 150 : 20;
                    },
                    request -> 1_000);
        }
        fleet.start();
        AtomicBoolean end = new AtomicBoolean();
        AtomicInteger lostWork = new AtomicInteger();
        for (Node node : fleet.nodes) {
            Store.daemon(
                    () -> {
                        for (int i = 0; !end.get(); i++) {
                            String id = node.host.substring(node.host.lastIndexOf('.') + 1) + "-" + i;
                            Store.daemon(() -> order(fleet, node, id, lostWork), "client");
                            Fleet.sleep(50);
                        }
                    },
                    "clients");
        }
        Thread.sleep(4_000);
        for (int i = 0; i < COMINGS; i++) {
            Node node = fleet.nodes.get(i % MACHINES);
            String id = "crash-" + i;
            if (trouble) {
                fleet.record.add("SENT", "id", id, "request", "GET " + POISON, "node", node.name);
                Store.daemon(() -> ask(fleet, node, id), "client");
            }
            Thread.sleep(COMING_GAP_MILLIS);
        }
        end.set(true);
        Thread.sleep(3_000);
        fleet.record.add(
                "COUNTED", "crashes", crashNanos.size(), "lateRetries", lateRetries.get(), "allowed", ALLOWED_RETRIES,
                "unsafeRequestsLost", lostWork.get());
        return Math.max(0, lateRetries.get() - ALLOWED_RETRIES);
    }

    private static void crash(
            Fleet fleet,
            int index,
            HttpMessage request,
            List<Long> crashNanos,
            Map<String, Integer> arrivals,
            AtomicInteger lateRetries) {
        String id = request.header("Jaywick-Request-Id");
        int arrival = arrivals.merge(id, 1, Integer::sum);
        long now = System.nanoTime();
        synchronized (crashNanos) {
            boolean late = crashNanos.size() >= 3
                    && now - crashNanos.get(2) > STABILITY_WINDOW_MILLIS * 1_000_000L;
            if (arrival > 1 && late) {
                lateRetries.incrementAndGet();
            }
            crashNanos.add(now);
            fleet.record.add(
                    "CRASH", "server", fleet.servers.get(index).id, "id", id, "arrival", arrival, "crashes",
                    crashNanos.size(), "lateRetry", arrival > 1 && late);
        }
        try {
            fleet.servers.get(index).close();
        } catch (IOException e) {
            fleet.record.add("CLOSE", "reason", e);
        }
        Store.daemon(
                () -> {
                    Fleet.sleep(BACK_MILLIS);
                    try {
                        fleet.restartServer(index, 0, 0);
                        fleet.record.add("BACK", "server", fleet.servers.get(index).id);
                        fleet.expireFormerEntries();
                    } catch (IOException e) {
                        fleet.record.add("NOT BACK", "reason", e);
                    }
                },
                "restart");
    }

    private static void ask(Fleet fleet, Node node, String id) {
        String result;
        try (Client client = new Client(node.host, Node.OUTBOUND_PORT, 0, 5_000)) {
            client.send(Client.request("GET", POISON, id, 2_000, new byte[0]));
            HttpMessage response = HttpMessage.read(client.in);
            result = response == null ? "closed" : response.startLine.substring(9);
        } catch (IOException e) {
            result = e.toString();
        }
        fleet.record.add("ANSWER", "id", id, "result", result);
    }

    private static void order(Fleet fleet, Node node, String id, AtomicInteger lostWork) {
        String result;
        try (Client client = new Client(node.host, Node.OUTBOUND_PORT, 0, 6_000)) {
            client.send(Client.request("POST", "/pufi791/2f", id, 5_000, new byte[100]));
            HttpMessage response = HttpMessage.read(client.in);
            result = response == null ? "closed" : response.startLine.substring(9);
        } catch (IOException e) {
            result = e.toString();
        }
        boolean ran = fleet.hasBegun(id);
        if (ran && !result.startsWith("200")) {
            lostWork.incrementAndGet();
            fleet.record.add("WORK LOST", "id", id, "result", result);
        }
    }
}
