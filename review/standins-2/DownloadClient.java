import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A client that sends several downloads behind each other on one connection and reads their answers in order, as fast as
 * its link allows. The body of each answer is the id of its request, repeated.
 */
final class DownloadClient implements Runnable {

    /** The largest answer of the site file. */
    static final int ANSWER_BYTES = 540_000;

    static final long DEADLINE_MILLIS = 15_000;

    /** What became of the requests of all clients. */
    static final class Totals {
        final AtomicInteger whole = new AtomicInteger();
        final AtomicInteger foreign = new AtomicInteger();
        final AtomicInteger lost = new AtomicInteger();
        final AtomicInteger refused = new AtomicInteger();
        final AtomicInteger endedConnections = new AtomicInteger();

        @Override
        public String toString() {
            return whole + " answers whole, " + foreign + " with the bytes of another answer, " + lost
                    + " not answered to the end on " + endedConnections + " connections, " + refused + " with another status than 200";
        }
    }

    private final Deployment deployment;
    private final Totals totals;
    private final int requests;
    private final int bytesPerSecond;
    private final boolean startsAlone;

    DownloadClient(Deployment deployment, Totals totals, int requests, int bitsPerSecond, boolean startsAlone) {
        this.deployment = deployment;
        this.totals = totals;
        this.requests = requests;
        this.bytesPerSecond = bitsPerSecond / 8;
        this.startsAlone = startsAlone;
    }

    /** Starts a plan server beside the first node, and a map server beside the second one. */
    static void startDeployment(Deployment deployment) throws Exception {
        writeConfig(deployment, 7);
        for (int i = 0; i < 2; i++) {
            AppServer server = deployment.addServer(i, i == 0 ? "plans" : "map", i == 0 ? "a" : "b");
            server.workMillis = 80;
            server.behaviour = (app, request, in, out, socket) -> {
                app.run(request);
                String id = request.header("Jaywick-Request-Id");
                Http.write(out, app.answerHead(id) + "Content-Length: " + ANSWER_BYTES + "\r\n\r\n", bodyOf(id));
                return true;
            };
        }
        for (int i = 0; i < 2; i++) {
            deployment.startNode(
                    i, i == 0 ? "plans" : "map", i == 0 ? "a" : "b", "north", "a = \"north\"\nb = \"north\"\n");
        }
        for (Deployment.NodeProcess node : deployment.nodes) {
            node.awaitReady(20_000);
        }
        Thread.sleep(3_000);
    }

    static void writeConfig(Deployment deployment, int version) {
        deployment.writeConfig(
                version,
                List.of(
                        Deployment.route("r-plans", "/plans/", "download", DEADLINE_MILLIS + "ms", "2500ms", "plans"),
                        Deployment.route("r-map", "/map/", "safe", "1500ms", "500ms", "map")),
                List.of("plans", "map"));
    }

    /** Runs clients side by side and waits for all of them. */
    static void runAll(
            Deployment deployment, Totals totals, int count, int requests, int bitsPerSecond, boolean startAlone)
            throws InterruptedException {
        deployment.log.line(count + " clients send " + requests + " downloads each");
        List<Thread> clients = new ArrayList<>();
        for (int c = 0; c < count; c++) {
            Thread client = new Thread(new DownloadClient(deployment, totals, requests, bitsPerSecond, startAlone), "client");
            client.setDaemon(true);
            client.start();
            clients.add(client);
            Thread.sleep(50);
        }
        for (Thread client : clients) {
            client.join(60_000);
        }
        if (totals.whole.get() == 0) {
            throw new IllegalStateException("no download was answered");
        }
    }

    private static byte[] bodyOf(String id) {
        byte[] unit = (id + "\n").getBytes(StandardCharsets.US_ASCII);
        byte[] body = new byte[ANSWER_BYTES];
        for (int i = 0; i < body.length; i++) {
            body[i] = unit[i % unit.length];
        }
        return body;
    }

    private static String head(String id) {
        return "GET /plans/sheet HTTP/1.1\r\nHost: " + Deployment.ROUTE_HOST + "\r\nJaywick-Request-Id: " + id
                + "\r\nJaywick-Deadline-Ms: " + DEADLINE_MILLIS + "\r\n\r\n";
    }

    @Override
    public void run() {
        List<String> ids = new ArrayList<>();
        int next = 0;
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(64 << 10);
            socket.connect(new InetSocketAddress(deployment.ip(0), deployment.outboundPort), 1000);
            socket.setSoTimeout((int) DEADLINE_MILLIS);
            InputStream in = new BufferedInputStream(socket.getInputStream(), 16 << 10);
            if (startsAlone) {
                // With its first answer the connection is a kept one.
                String id = Client.newId();
                deployment.log.line("sent alone: " + id);
                Http.write(socket.getOutputStream(), head(id), new byte[0]);
                Http.Message first = Http.head(in);
                judge(id, first, readBody(in, Integer.parseInt(first.header("Content-Length")), 0, System.nanoTime()));
            }
            StringBuilder heads = new StringBuilder();
            for (int i = 0; i < requests; i++) {
                String id = Client.newId();
                ids.add(id);
                heads.append(head(id));
            }
            deployment.log.line("sent on one connection: " + ids);
            Http.write(socket.getOutputStream(), heads.toString(), new byte[0]);
            long start = System.nanoTime();
            long received = 0;
            while (next < ids.size()) {
                Http.Message answer = Http.head(in);
                if (answer == null) {
                    throw new IOException("closed by the node");
                }
                byte[] body = readBody(in, Integer.parseInt(answer.header("Content-Length")), received, start);
                received += body.length;
                judge(ids.get(next), answer, body);
                next++;
            }
        } catch (IOException | RuntimeException e) {
            deployment.log.line("no whole answer to " + ids.subList(next, ids.size()) + ": " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        totals.lost.addAndGet(ids.size() - next);
        totals.endedConnections.addAndGet(next < ids.size() ? 1 : 0);
    }

    private byte[] readBody(InputStream in, int length, long receivedBefore, long start)
            throws IOException, InterruptedException {
        ByteArrayOutputStream body = new ByteArrayOutputStream(length);
        byte[] buffer = new byte[16 << 10];
        while (body.size() < length) {
            int count = in.read(buffer, 0, Math.min(buffer.length, length - body.size()));
            if (count < 0) {
                throw new IOException("closed by the node after " + body.size() + " of " + length + " bytes");
            }
            body.write(buffer, 0, count);
            long dueNanos = (receivedBefore + body.size()) * 1_000_000_000L / bytesPerSecond;
            long aheadMillis = (dueNanos - (System.nanoTime() - start)) / 1_000_000;
            if (aheadMillis > 0) {
                Thread.sleep(aheadMillis);
            }
        }
        return body.toByteArray();
    }

    private void judge(String id, Http.Message answer, byte[] body) {
        if (answer.status() != 200) {
            totals.refused.incrementAndGet();
            deployment.log.line(
                    "answer " + id + ": " + answer.startLine() + " " + new String(body, StandardCharsets.ISO_8859_1));
            return;
        }
        byte[] expected = bodyOf(id);
        int same = 0;
        while (same < Math.min(body.length, expected.length) && body[same] == expected[same]) {
            same++;
        }
        if (body.length == expected.length && same == body.length && id.equals(answer.header("Jaywick-Request-Id"))) {
            totals.whole.incrementAndGet();
            deployment.log.line("answer " + id + ": 200, whole");
            return;
        }
        totals.foreign.incrementAndGet();
        String foreign = new String(body, same, Math.min(160, body.length - same), StandardCharsets.ISO_8859_1);
        deployment.log.line("answer " + id + ": 200, stamp " + answer.header("Jaywick-Server-Stamp") + ", " + body.length
                + " bytes, which from byte " + same + " on are: " + foreign.replace("\r\n", " | ").replace("\n", " "));
    }
}
