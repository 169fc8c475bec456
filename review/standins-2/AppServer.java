import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** An application server: registers in the store, answers health checks, and runs requests in its slots. */
class AppServer {

    private static final AtomicInteger IDS = new AtomicInteger();

    final Deployment deployment;
    final String ip;
    final String service;
    final String zone;
    final String id;
    final long born = System.currentTimeMillis();
    final Semaphore slots;
    final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    final AtomicInteger runs = new AtomicInteger();
    volatile String state = "ready";
    volatile boolean listed = true;
    volatile long workMillis = 30;
    volatile Behaviour behaviour = null;
    volatile int answerBytes = 400;
    volatile boolean recordRuns = true;
    private int sequence;

    /** Answers in place of the sound server; returns whether the connection continues. */
    interface Behaviour {
        boolean serve(AppServer server, Http.Message request, InputStream in, OutputStream out, Socket socket)
                throws IOException, InterruptedException;
    }

    AppServer(Deployment deployment, String ip, String service, String zone) throws IOException {
        this.deployment = deployment;
        this.ip = ip;
        this.service = service;
        this.zone = zone;
        this.id = String.format("i-%04x%04x", IDS.incrementAndGet(), (int) (Math.random() * 65536));
        this.slots = new Semaphore(deployment.slots, true);
        ServerSocket listener = new ServerSocket(deployment.appPort, 200, InetAddress.getByName(ip));
        daemon(() -> accept(listener), "app-" + id);
        beat();
        daemon(this::heartbeats, "beat-" + id);
    }

    static void daemon(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void heartbeats() {
        try {
            while (true) {
                Thread.sleep(1500);
                if (listed) {
                    beat();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    synchronized void beat() {
        deployment.store.put("servers/" + id, "{\"service\":\"" + service + "\",\"address\":\"" + ip + ":"
                + deployment.appPort + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":" + deployment.slots
                + ",\"state\":\"" + state + "\",\"cold-remaining\":\"0ms\",\"sequence\":" + ++sequence + ",\"born\":"
                + born + "}");
    }

    private void accept(ServerSocket listener) {
        while (true) {
            try {
                Socket socket = listener.accept();
                sockets.add(socket);
                daemon(() -> serve(socket), "app-connection");
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            Http.Message request;
            while ((request = Http.read(in)) != null) {
                if (request.startLine().startsWith("GET /health ")) {
                    Http.write(out, "HTTP/1.1 200 OK\r\nJaywick-Instance-Id: " + id
                            + "\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n", new byte[0]);
                    continue;
                }
                String expected = request.header("Jaywick-Expect-Instance");
                String requestId = request.header("Jaywick-Request-Id");
                if (expected != null && !expected.equals(id)) {
                    Http.write(out, "HTTP/1.1 421 Misdirected Request\r\nJaywick-Request-Id: " + requestId
                            + "\r\nJaywick-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n", new byte[0]);
                    continue;
                }
                if (behaviour != null && behaviour.serve(this, request, in, out, socket)) {
                    continue;
                } else if (behaviour != null) {
                    return;
                }
                run(request);
                answer(out, requestId, answerBytes);
            }
        } catch (IOException | InterruptedException e) {
            // The node has closed the connection.
        } finally {
            sockets.remove(socket);
        }
    }

    /** Runs a request in a slot. */
    void run(Http.Message request) throws InterruptedException {
        slots.acquire();
        try {
            runs.incrementAndGet();
            if (recordRuns) {
                deployment.log.line("run " + request.header("Jaywick-Request-Id") + " by " + id + " of " + service + " "
                        + request.startLine() + " body " + request.body().length);
            }
            Thread.sleep(workMillis);
        } finally {
            slots.release();
        }
    }

    void answer(OutputStream out, String requestId, int bytes) throws IOException {
        Http.write(out, answerHead(requestId) + "Content-Length: " + bytes + "\r\n\r\n", new byte[bytes]);
    }

    String answerHead(String requestId) {
        return "HTTP/1.1 200 OK\r\nJaywick-Request-Id: " + requestId + "\r\nJaywick-Server-Stamp: 3e1b.07.5a2."
                + requestId + "\r\nKeep-Alive: timeout=10\r\n";
    }
}
