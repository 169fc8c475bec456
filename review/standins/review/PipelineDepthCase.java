package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients keep a connection and send safe requests on it before earlier ones are answered. Counts the connections that
 * the node closed without an answer to a request that it had passed on to a server.
 */
final class PipelineDepthCase {

    static final int CLIENTS = 8;
    static final int DEEP = 24;
    static final int SHALLOW = 8;
    static final int ALLOWED = 3;

    private PipelineDepthCase() {}

    public static void main(String[] args) throws Exception {
        Fleet.main(Path.of(args[0]), PipelineDepthCase::run);
    }

    static int run(Fleet fleet, boolean trouble) throws Exception {
        fleet.setLimits(16_384, 67_108_864);
        fleet.addService("huvo11a");
        fleet.addRoute("r-1", "/lohu930/", "safe", 2_000, "huvo11a");
        fleet.writeConfig();
        fleet.addMachine("caerdydd", "de-cymru", "huvo11a", 6, request -> 30, request -> 1_000);
        fleet.start();
        AtomicInteger lost = new AtomicInteger();
        for (int i = 1; i <= CLIENTS; i++) {
            client(fleet, i, trouble ? DEEP : SHALLOW, lost);
        }
        fleet.record.add("LOST IN ALL", "count", lost.get(), "allowed", ALLOWED);
        return Math.max(0, lost.get() - ALLOWED);
    }

    static void client(Fleet fleet, int number, int depth, AtomicInteger lost) throws Exception {
        int answered = 0;
        try (Client client = new Client(fleet.nodes.get(0).host, Node.OUTBOUND_PORT, 0, 5_000)) {
            // One request and its answer first: the connection is a kept one.
            client.send(Client.request("GET", "/lohu930/2f", number + "-0", 4_000, new byte[0]));
            HttpMessage.read(client.in);
            for (int i = 1; i <= depth; i++) {
                client.send(Client.request("GET", "/lohu930/2f", number + "-" + i, 4_000, new byte[0]));
                fleet.record.add("SENT", "id", number + "-" + i);
            }
            while (answered < depth) {
                HttpMessage answer = HttpMessage.read(client.in);
                if (answer == null) {
                    break;
                }
                answered++;
                fleet.record.add(
                        "ANSWER", "id", answer.header("Jaywick-Request-Id"), "status", answer.startLine.substring(9));
            }
        } catch (IOException e) {
            fleet.record.add("CONNECTION", "client", number, "reason", e);
        }
        fleet.record.add("CLIENT", "number", number, "sent", depth, "answered", answered);
        for (int i = answered + 1; i <= depth; i++) {
            if (fleet.hasBegun(number + "-" + i)) {
                fleet.record.add("LOST", "id", number + "-" + i, "passedOn", true);
                lost.incrementAndGet();
            }
        }
        Thread.sleep(200);
    }
}
