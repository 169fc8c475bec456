package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A client sends two safe requests in a row on one connection. Both are within the limits of the configuration; the
 * target of the second one is long. The first response on the connection must be that of the first request.
 */
final class PipelineOrderCase {

    static final int ROUNDS = 10;
    static final int LONG_TARGET_CHARACTERS = 9_000;
    static final int MAX_HEADER_BYTES = 16_384;

    private PipelineOrderCase() {}

    public static void main(String[] args) throws Exception {
        Fleet.main(Path.of(args[0]), PipelineOrderCase::run);
    }

    static int run(Fleet fleet, boolean trouble) throws Exception {
        fleet.setLimits(MAX_HEADER_BYTES, 67_108_864);
        fleet.addService("huvo11a");
        fleet.addRoute("r-1", "/lohu930/", "safe", 2_000, "huvo11a");
        fleet.writeConfig();
        fleet.addMachine("caerdydd", "de-cymru", "huvo11a", 6, request -> 200, request -> 1_000);
        fleet.start();
        AtomicInteger broken = new AtomicInteger();
        for (int i = 1; i <= ROUNDS; i++) {
            round(fleet, trouble, i, broken);
        }
        return broken.get();
    }

    static void round(Fleet fleet, boolean trouble, int i, AtomicInteger broken) throws Exception {
        String longTarget = "/lohu930/2f?q=" + "a".repeat(LONG_TARGET_CHARACTERS);
        String firstId = "first-" + i;
        String secondId = "second-" + i;
        byte[] first = Client.request("GET", "/lohu930/2f", firstId, 4_000, new byte[0]);
        byte[] second = Client.request("GET", longTarget, secondId, 4_000, new byte[0]);
        try (Client client = new Client(fleet.nodes.get(0).host, Node.OUTBOUND_PORT, 0, 5_000)) {
            client.send(first);
            fleet.record.add("SENT", "id", firstId, "bytes", first.length);
            if (trouble) {
                client.send(second);
                fleet.record.add("SENT", "id", secondId, "bytes", second.length, "pipelined", true);
            }
            HttpMessage answer = HttpMessage.read(client.in);
            note(fleet, firstId, answer);
            boolean isOwn = answer != null
                    && firstId.equals(answer.header("Jaywick-Request-Id"))
                    && answer.status() == 200
                    && answer.header("Jaywick-Server-Stamp") != null;
            if (answer != null && !isOwn) {
                fleet.record.add("MIXED", "id", firstId, "gotAnswerOf", secondId);
                broken.incrementAndGet();
            }
            if (!trouble) {
                client.send(second);
                fleet.record.add("SENT", "id", secondId, "bytes", second.length, "pipelined", false);
            }
            note(fleet, secondId, HttpMessage.read(client.in));
        } catch (IOException e) {
            fleet.record.add("CLOSED", "reason", e);
        }
        Thread.sleep(300);
    }

    static void note(Fleet fleet, String id, HttpMessage answer) {
        fleet.record.add(
                "ANSWER",
                "to",
                id,
                "status",
                answer == null ? "none, connection closed" : answer.startLine.substring(9),
                "id",
                answer == null ? null : answer.header("Jaywick-Request-Id"),
                "body",
                answer == null || answer.body.length > 200
                        ? null
                        : new String(answer.body, StandardCharsets.UTF_8).trim());
    }
}
