package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * All machines lose power and come back: the nodes at once, the servers {@link #SERVER_AFTER_NODE_MILLIS} after the
 * nodes are ready. A server that has just started is slow: until {@link #SLOW_MILLIS} after its start, every answer takes {@link #SLOW_WORK_MILLIS}
 * longer. Counts the rule as broken if less than a quarter of the requests sent later than the bound {@code recovery}
 * after the machines are back is served, though a quarter or more was before the fault.
 */
final class RecoverCase {

    static final int MACHINES = 4;
    static final int GAP_MILLIS = 50;
    static final int SERVER_AFTER_NODE_MILLIS = 700;
    static final int ENTRY_EXPIRY_MILLIS = 3_000;
    static final int SLOW_MILLIS = 3_000;
    static final int SLOW_WORK_MILLIS = 2_500;
    static final int BEFORE_MILLIS = 8_000;
    static final int RECOVERY_MILLIS = 15_000;
    static final int JUDGED_MILLIS = 20_000;

    private RecoverCase() {}

    public static void main(String[] args) throws Exception {
        Fleet.main(Path.of(args[0]), RecoverCase::run);
    }

    static int run(Fleet fleet, boolean trouble) throws Exception {
        fleet.setLimits(16_384, 67_108_864);
        fleet.addService("huvo11a");
        fleet.addRoute("r-1", "/lohu930/", "safe", 2_000, "huvo11a");
        fleet.writeConfig();
        for (int i = 0; i < MACHINES; i++) {
            String zone = i % 2 == 0 ? "caerdydd" : "wrecsam";
            fleet.addMachine(zone, i % 2 == 0 ? "de-cymru" : "gogledd", "huvo11a", 6, request -> 40, request -> 1_000);
        }
        fleet.start();
        AtomicBoolean end = new AtomicBoolean();
        AtomicInteger asked = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        List<Thread> senders = new ArrayList<>();
        for (Node node : fleet.nodes) {
            Thread sender = new Thread(() -> {
                for (int i = 0; !end.get(); i++) {
                    String id = node.host.substring(node.host.lastIndexOf('.') + 1) + "-" + i;
                    Store.daemon(() -> ask(fleet, node, id, asked, served), "client");
                    Fleet.sleep(GAP_MILLIS);
                }
            });
            sender.setDaemon(true);
            sender.start();
            senders.add(sender);
        }
        Thread.sleep(BEFORE_MILLIS);
        int askedBefore = asked.getAndSet(0);
        int servedBefore = served.getAndSet(0);
        fleet.record.add("BEFORE", "asked", askedBefore, "served", servedBefore);
        if (trouble) {
            for (Node node : fleet.nodes) {
                node.signal("KILL");
            }
            for (AppServer server : fleet.servers) {
                server.close();
            }
            for (Node node : fleet.nodes) {
                node.awaitExit(5_000);
            }
            fleet.record.add("POWER OFF", "nodes", fleet.nodes.size(), "servers", fleet.servers.size());
            for (Node node : fleet.nodes) {
                node.start();
            }
            fleet.awaitReady();
            Thread.sleep(SERVER_AFTER_NODE_MILLIS);
            for (int i = 0; i < MACHINES; i++) {
                fleet.restartServer(i, SLOW_MILLIS, SLOW_WORK_MILLIS);
            }
            fleet.record.add("BACK", "servers", fleet.servers.size());
        }
        // The entries of the former incarnations expire after three heartbeats of silence, 4.5 s after the power loss.
        Thread.sleep(ENTRY_EXPIRY_MILLIS);
        if (trouble) {
            fleet.expireFormerEntries();
            fleet.record.add("FORMER ENTRIES EXPIRE");
        }
        Thread.sleep(RECOVERY_MILLIS - ENTRY_EXPIRY_MILLIS + 500);
        asked.set(0);
        served.set(0);
        Thread.sleep(JUDGED_MILLIS);
        int askedAfter = asked.get();
        int servedAfter = served.get();
        end.set(true);
        fleet.record.add("AFTER", "asked", askedAfter, "served", servedAfter);
        return 4 * servedBefore >= askedBefore && 4 * servedAfter < askedAfter ? 1 : 0;
    }

    static void ask(Fleet fleet, Node node, String id, AtomicInteger asked, AtomicInteger served) {
        asked.incrementAndGet();
        String result;
        try (Client client = new Client(node.host, Node.OUTBOUND_PORT, 0, 5_000)) {
            client.send(Client.request("GET", "/lohu930/2f", id, 4_000, new byte[0]));
            HttpMessage response = HttpMessage.read(client.in);
            result = response == null ? "closed" : response.startLine.substring(9);
            if (response != null && response.status() == 200 && response.header("Jaywick-Server-Stamp") != null) {
                served.incrementAndGet();
            } else if (response != null) {
                result += " " + new String(response.body).trim();
            }
        } catch (IOException e) {
            result = e.toString();
        }
        fleet.record.add("ANSWER", "node", node.name, "id", id, "result", result);
    }
}
