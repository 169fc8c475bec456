package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.ToIntFunction;

/**
 * Stand-in of an application server: runs as many requests at a time as it has slots and answers each of them with its
 * stamp. A request for another instance gets 421, and a request without an id gets 400; neither is run.
 */
final class AppServer implements AutoCloseable {

    final String id;
    final String service;
    final int slotCount;
    private final ServerSocket listener;
    private final Recorder record;
    private final Set<String> begun;
    private final Semaphore slots;
    final ToIntFunction<HttpMessage> workMillis;
    final ToIntFunction<HttpMessage> bodyBytes;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final AtomicInteger runs = new AtomicInteger();
    private final AtomicBoolean gone = new AtomicBoolean();

    private final Queue<Long> beginNanos = new ConcurrentLinkedQueue<>();

    AppServer(
            String host,
            int port,
            String id,
            String service,
            int slots,
            Recorder record,
            Set<String> begun,
            ToIntFunction<HttpMessage> workMillis,
            ToIntFunction<HttpMessage> bodyBytes)
            throws IOException {
        this.id = id;
        this.service = service;
        this.record = record;
        this.begun = begun;
        this.slotCount = slots;
        this.slots = new Semaphore(slots, true);
        this.workMillis = workMillis;
        this.bodyBytes = bodyBytes;
        this.listener = new ServerSocket(port, 256, InetAddress.getByName(host));
        Store.daemon(this::accept, "server " + id);
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                connections.add(socket);
                Store.daemon(() -> serve(socket), "server connection");
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (HttpMessage request = HttpMessage.read(in); request != null; request = HttpMessage.read(in)) {
                socket.getOutputStream().write(answer(request));
            }
        } catch (IOException | InterruptedException e) {
            // The caller is gone, or this server.
        } finally {
            connections.remove(socket);
        }
    }

    private byte[] answer(HttpMessage request) throws InterruptedException {
        slots.acquire();
        try {
            if (request.target().equals("/health")) {
                Thread.sleep(workMillis.applyAsInt(request));
                return response("200 OK", "Jaywick-Instance-Id: " + id + "\r\n", 0);
            }
            String requestId = request.header("Jaywick-Request-Id");
            if (requestId == null) {
                return response("400 Bad Request", "Jaywick-Not-Executed: 1\r\n", 0);
            }
            String echo = "Jaywick-Request-Id: " + requestId + "\r\n";
            if (!id.equals(request.header("Jaywick-Expect-Instance"))) {
                return response("421 Misdirected Request", echo + "Jaywick-Instance-Id: " + id + "\r\n", 0);
            }
            begun.add(requestId);
            beginNanos.add(System.nanoTime());
            record.add(
                    "RUN",
                    "server",
                    id,
                    "id",
                    requestId,
                    "request",
                    request.method() + " " + abbreviate(request.target()),
                    "bodyBytes",
                    request.body.length,
                    "deadlineMs",
                    request.header("Jaywick-Deadline-Ms"));
            Thread.sleep(workMillis.applyAsInt(request));
            if (gone.get()) {
                throw new InterruptedException("the server is gone");
            }
            record.add("DONE", "server", id, "id", requestId);
            return response(
                    "200 OK",
                    echo + "Jaywick-Server-Stamp: " + id + "." + runs.incrementAndGet() + "\r\n",
                    bodyBytes.applyAsInt(request));
        } finally {
            slots.release();
        }
    }

    static String abbreviate(String target) {
        return target.length() <= 60 ? target : target.substring(0, 60) + "...(" + target.length() + " characters)";
    }

    private static byte[] response(String status, String headers, int bodyBytes) {
        byte[] head = ("HTTP/1.1 " + status + "\r\n" + headers + "Keep-Alive: timeout=10\r\nContent-Length: " + bodyBytes
                        + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
        byte[] bytes = new byte[head.length + bodyBytes];
        java.util.Arrays.fill(bytes, (byte) 'x');
        System.arraycopy(head, 0, bytes, 0, head.length);
        return bytes;
    }

    /** Number of requests that this server began to run after a time. */
    int begunLater(long nanos) {
        return (int) beginNanos.stream().filter(begin -> begin - nanos > 0).count();
    }

    /** The server exits: its listener and all its connections close, and what it still runs is not answered. */
    @Override
    public void close() throws IOException {
        gone.set(true);
        listener.close();
        for (Socket socket : connections) {
            socket.close();
        }
    }
}
