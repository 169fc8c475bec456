package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients receive large answers over slow links while their node gets SIGTERM. Counts the answers that end early though
 * their server has handed out the whole answer, and neither the deadline nor the timeout of the route has passed.
 */
final class FlushCase {

    static final int CLIENTS = 4;
    static final int ANSWER_BYTES = 7_500_000;
    static final int CLIENT_BYTES_PER_SECOND = 875_000;
    static final int WORK_MILLIS = 100;

    private FlushCase() {}

    public static void main(String[] args) throws Exception {
        Fleet.main(Path.of(args[0]), FlushCase::run);
    }

    static int run(Fleet fleet, boolean trouble) throws Exception {
        fleet.setLimits(16_384, 67_108_864);
        fleet.addService("huvo11a");
        fleet.addRoute("r-1", "/lohu930/", "safe", 8_000, "huvo11a");
        fleet.writeConfig();
        fleet.addMachine("caerdydd", "de-cymru", "huvo11a", 6, request -> WORK_MILLIS, request -> ANSWER_BYTES);
        fleet.start();
        Thread.sleep(1_000);
        AtomicInteger broken = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 1; i <= CLIENTS; i++) {
            String id = "q-" + i;
            Thread client = new Thread(() -> download(fleet, id, broken));
            client.start();
            clients.add(client);
        }
        Thread.sleep(500);
        if (trouble) {
            fleet.record.add("SIGTERM", "node", fleet.nodes.get(0).name);
            fleet.nodes.get(0).signal("TERM");
        }
        for (Thread client : clients) {
            client.join();
        }
        if (trouble) {
            fleet.nodes.get(0).awaitExit(8_000);
            fleet.record.add("EXIT", "node", fleet.nodes.get(0).name);
        }
        return broken.get();
    }

    static void download(Fleet fleet, String id, AtomicInteger broken) {
        long start = System.nanoTime();
        long read = 0;
        String end = "whole";
        try (Client client = new Client(fleet.nodes.get(0).host, Node.OUTBOUND_PORT, 64 << 10, 5_000)) {
            client.send(Client.request("GET", "/lohu930/2f", id, 15_000, new byte[0]));
            fleet.record.add("SENT", "id", id);
            byte[] part = new byte[16 << 10];
            while (read < ANSWER_BYTES) {
                int count = client.in.read(part);
                if (count < 0) {
                    end = "connection closed";
                    break;
                }
                read += count;
                long dueNanos = start + read * 1_000_000_000L / CLIENT_BYTES_PER_SECOND;
                Fleet.sleep(Math.max(0, (dueNanos - System.nanoTime()) / 1_000_000));
            }
        } catch (IOException e) {
            end = e.toString();
        }
        fleet.record.add(
                "ANSWER", "id", id, "bytesRead", read, "of", ANSWER_BYTES, "afterMillis",
                (System.nanoTime() - start) / 1_000_000, "end", end);
        if (read < ANSWER_BYTES) {
            fleet.record.add("LOST", "id", id);
            broken.incrementAndGet();
        }
    }
}
