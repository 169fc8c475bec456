package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

final class DrainBulkCase {

    static final int MACHINES = 12;
    static final int LEAVING = 3;
    static final int GAP_MILLIS = 20;
    static final int WORK_MILLIS = 100;
    static final int DRAIN_MILLIS = 2_000;

    private DrainBulkCase() {}

    public static void main(String[] args) throws Exception {
        Fleet.main(Path.of(args[0]), DrainBulkCase::run);
    }

    static int run(Fleet fleet, boolean trouble) throws Exception {
        int longer = Integer.getInteger("longer", 300);
        fleet.setLimits(16_384, 67_108_864);
        fleet.addService("huvo11a");
        fleet.addRoute("r-1", "/lohu930/", "unsafe", 2_500, "huvo11a");
        fleet.writeConfig();
        for (int i = 0; i < MACHINES; i++) {
            String zone = i % 2 == 0 ? "caerdydd" : "wrecsam";
            fleet.addMachine(zone, i % 2 == 0 ? "de-cymru" : "gogledd", "huvo11a", 6, request -> WORK_MILLIS, request -> 1_000);
        }
        fleet.start();
        AtomicBoolean end = new AtomicBoolean();
        Map<String, String> results = new java.util.concurrent.ConcurrentHashMap<>();
        for (int n = 0; n < MACHINES; n++) {
            Node node = fleet.nodes.get(n);
            boolean leaves = n >= MACHINES - LEAVING;
            Store.daemon(() -> {
                for (int i = 0; !end.get(); i++) {
                    String id = node.host.substring(node.host.lastIndexOf('.') + 1) + "-" + i;
                    Store.daemon(() -> one(fleet, node, id, results), "client");
                    Fleet.sleep(GAP_MILLIS);
                }
            }, "clients");
        }
        Thread.sleep(5_000);
        List<String> keys = new ArrayList<>();
        List<AppServer> leaving = fleet.servers.subList(MACHINES - LEAVING, MACHINES);
        for (AppServer server : leaving) {
            keys.add("servers/" + server.id);
        }
        long removed;
        if (trouble) {
            fleet.store.remove(keys);
            removed = System.nanoTime();
            fleet.record.add("REMOVED", "servers", keys);
        } else {
            removed = System.nanoTime();
            for (String key : keys) {
                fleet.store.remove(List.of(key));
                Thread.sleep(500);
            }
        }
        Thread.sleep(DRAIN_MILLIS + longer - (System.nanoTime() - removed) / 1_000_000);
        int late = 0;
        for (AppServer server : leaving) {
            late += server.begunLater(removed + DRAIN_MILLIS * 1_000_000L);
            if (trouble) { server.close(); fleet.record.add("SERVER EXITS", "id", server.id); }
        }
        Thread.sleep(2_000);
        end.set(true);
        long bad = results.values().stream().filter(r -> !r.startsWith("200")).count();
        fleet.record.add("COUNTED", "late", late, "notServed", bad);
        return late;
    }

    static void one(Fleet fleet, Node node, String id, Map<String, String> results) {
        String result;
        try (Client client = new Client(node.host, Node.OUTBOUND_PORT, 0, 5_000)) {
            client.send(Client.request("POST", "/lohu930/2f", id, 5_000, new byte[10]));
            HttpMessage response = HttpMessage.read(client.in);
            result = response == null ? "closed" : response.startLine.substring(9)
                    + (response.status() == 200 ? "" : new String(response.body));
        } catch (IOException e) {
            result = e.toString();
        }
        results.put(id, result);
        if (!result.startsWith("200")) {
            fleet.record.add("ANSWER", "node", node.name, "id", id, "result", result);
        }
    }
}
