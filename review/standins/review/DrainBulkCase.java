package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Three of twelve servers leave at the same moment, shortly after a new version of the configuration; none of them
 * reports {@code draining}. Each continues to serve for the bound {@code drain} and a little longer, and then exits.
 * Counts the requests that reach one of them later than {@code drain} after the store has removed its entry.
 */
final class DrainBulkCase {

    static final int MACHINES = 12;
    static final int LEAVING = 3;
    static final int GAP_MILLIS = 40;
    static final int WORK_MILLIS = 150;
    static final int CONFIG_BEFORE_MILLIS = 100;
    static final int DRAIN_MILLIS = 2_000;
    static final int LITTLE_LONGER_MILLIS = 250;

    private DrainBulkCase() {}

    public static void main(String[] args) throws Exception {
        Fleet.main(Path.of(args[0]), DrainBulkCase::run);
    }

    static int run(Fleet fleet, boolean trouble) throws Exception {
        fleet.setLimits(16_384, 67_108_864);
        fleet.addService("huvo11a");
        fleet.addRoute("r-1", "/lohu930/", "unsafe", 2_500, "huvo11a");
        fleet.writeConfig();
        for (int i = 0; i < MACHINES; i++) {
            String zone = i % 2 == 0 ? "caerdydd" : "wrecsam";
            String region = i % 2 == 0 ? "de-cymru" : "gogledd";
            fleet.addMachine(zone, region, "huvo11a", 6, request -> WORK_MILLIS, request -> 1_000);
        }
        fleet.start();
        AtomicBoolean end = new AtomicBoolean();
        AtomicInteger lost = new AtomicInteger();
        for (Node node : fleet.nodes) {
            Store.daemon(
                    () -> {
                        for (int i = 0; !end.get(); i++) {
                            String id = node.host.substring(node.host.lastIndexOf('.') + 1) + "-" + i;
                            Store.daemon(() -> order(fleet, node, id, lost), "client");
                            Fleet.sleep(GAP_MILLIS);
                        }
                    },
                    "clients");
        }
        Thread.sleep(5_000);
        fleet.writeConfig();
        fleet.record.add("CONFIG");
        Thread.sleep(CONFIG_BEFORE_MILLIS);
        List<AppServer> leaving = fleet.servers.subList(MACHINES - LEAVING, MACHINES);
        if (trouble) {
            for (AppServer server : leaving) {
                fleet.store.remove(List.of("servers/" + server.id));
                fleet.record.add("ENTRY REMOVED", "server", server.id);
            }
        }
        long removedNanos = System.nanoTime();
        Thread.sleep(DRAIN_MILLIS + LITTLE_LONGER_MILLIS);
        int late = 0;
        if (trouble) {
            for (AppServer server : leaving) {
                int count = server.begunLater(removedNanos + DRAIN_MILLIS * 1_000_000L);
                late += count;
                server.close();
                fleet.record.add("SERVER EXITS", "server", server.id, "lateRequests", count);
            }
        }
        Thread.sleep(2_000);
        end.set(true);
        Thread.sleep(2_000);
        fleet.record.add("COUNTED", "lateRequests", late, "requestsRunAndNotAnswered", lost.get());
        return late;
    }

    static void order(Fleet fleet, Node node, String id, AtomicInteger lost) {
        String result;
        try (Client client = new Client(node.host, Node.OUTBOUND_PORT, 0, 6_000)) {
            client.send(Client.request("POST", "/lohu930/2f", id, 5_000, new byte[10]));
            HttpMessage response = HttpMessage.read(client.in);
            result = response == null ? "closed" : response.startLine.substring(9);
        } catch (IOException e) {
            result = e.toString();
        }
        if (!result.startsWith("200")) {
            boolean ran = fleet.hasBegun(id);
            fleet.record.add("ANSWER", "node", node.name, "id", id, "ran", ran, "result", result);
            if (ran) {
                lost.incrementAndGet();
            }
        }
    }
}
