import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A node is stopped while clients on slow links download, each with a few requests under way on its connection. */
final class TermCase {

    private static final int CLIENTS = 4;
    private static final int OUTSTANDING = 12;
    private static final int REQUESTS = 40;
    private static final int BYTES_PER_SECOND = 7_700_000 / 8;
    private static final long DEADLINE_MILLIS = 15_000;

    private final Deployment deployment;
    private final Set<String> ran = ConcurrentHashMap.newKeySet();
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger notRun = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();

    private TermCase(Deployment deployment) {
        this.deployment = deployment;
    }

    public static void main(String[] args) {
        Deployment.runCase(args, (deployment, trouble) -> new TermCase(deployment).run(trouble));
    }

    private boolean run(boolean trouble) throws Exception {
        DownloadClient.startDeployment(deployment);
        for (AppServer server : deployment.servers) {
            AppServer.Behaviour sound = server.behaviour;
            server.behaviour = (app, request, in, out, socket) -> {
                ran.add(request.header("Jaywick-Request-Id"));
                return sound.serve(app, request, in, out, socket);
            };
        }
        List<Thread> clients = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            Thread client = new Thread(this::download, "client");
            client.setDaemon(true);
            client.start();
            clients.add(client);
        }
        Thread.sleep(4_000);
        if (trouble) {
            deployment.nodes.get(0).signal("TERM");
        }
        for (Thread client : clients) {
            client.join(60_000);
        }
        if (whole.get() == 0) {
            throw new IllegalStateException("no download was answered");
        }
        boolean broken = lost.get() > 0;
        String verdict = whole + " answers whole, " + lost + " requests run by the server and not answered to the end, "
                + notRun + " not run and not answered, " + refused + " with another status than 200; LOST "
                + (broken ? "is broken" : "holds");
        deployment.log.line(verdict);
        System.out.println(verdict);
        return broken;
    }

    private void download() {
        ArrayDeque<String> outstanding = new ArrayDeque<>();
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(64 << 10);
            socket.connect(new InetSocketAddress(deployment.ip(0), deployment.outboundPort), 1000);
            socket.setSoTimeout((int) DEADLINE_MILLIS);
            InputStream in = new BufferedInputStream(socket.getInputStream(), 16 << 10);
            int sent = 0;
            boolean closing = false;
            long start = System.nanoTime();
            long received = 0;
            byte[] buffer = new byte[16 << 10];
            while (sent < REQUESTS && !closing || !outstanding.isEmpty()) {
                while (outstanding.size() < OUTSTANDING && sent < REQUESTS && !closing) {
                    String id = Client.newId();
                    outstanding.add(id);
                    sent++;
                    deployment.log.line("sent " + id);
                    Http.write(
                            socket.getOutputStream(),
                            "GET /plans/sheet HTTP/1.1\r\nHost: " + Deployment.ROUTE_HOST + "\r\nJaywick-Request-Id: " + id
                                    + "\r\nJaywick-Deadline-Ms: " + DEADLINE_MILLIS + "\r\n\r\n",
                            new byte[0]);
                }
                Http.Message answer = Http.head(in);
                if (answer == null) {
                    throw new IOException("closed by the node");
                }
                closing |= "close".equalsIgnoreCase(answer.header("Connection"));
                int length = Integer.parseInt(answer.header("Content-Length"));
                for (int got = 0; got < length; ) {
                    int count = in.read(buffer, 0, Math.min(buffer.length, length - got));
                    if (count < 0) {
                        throw new IOException("closed by the node within an answer");
                    }
                    got += count;
                    received += count;
                    long aheadMillis =
                            (received * 1_000_000_000L / BYTES_PER_SECOND - (System.nanoTime() - start)) / 1_000_000;
                    if (aheadMillis > 0) {
                        Thread.sleep(aheadMillis);
                    }
                }
                String id = outstanding.poll();
                (answer.status() == 200 ? whole : refused).incrementAndGet();
                deployment.log.line("answer " + id + ": " + answer.status() + " whole" + (closing ? ", closes" : ""));
                if (closing) {
                    break;
                }
            }
        } catch (IOException | RuntimeException e) {
            deployment.log.line("connection ended: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (String id : outstanding) {
            boolean isRun = ran.contains(id);
            (isRun ? lost : notRun).incrementAndGet();
            deployment.log.line("no whole answer to " + id + (isRun ? ", which the server ran" : ", which was not run"));
        }
    }
}
