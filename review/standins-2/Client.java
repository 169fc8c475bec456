import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.atomic.AtomicLong;

/** A client with a kept connection to the node of its machine. */
final class Client implements AutoCloseable {

    private static final AtomicLong IDS = new AtomicLong(System.nanoTime() & 0xffffff);

    private final Deployment deployment;
    private final String ip;
    private Socket socket;
    private InputStream in;

    /** How a request ended. */
    record Result(String id, String outcome, int status, long millis) {
        boolean isAnswered() {
            return status > 0;
        }
    }

    Client(Deployment deployment, String ip) {
        this.deployment = deployment;
        this.ip = ip;
    }

    static String newId() {
        return String.format("%016x", IDS.incrementAndGet() * 0x9e3779b97f4a7c15L);
    }

    boolean isConnected() {
        return socket != null;
    }

    void connect() throws IOException {
        Socket opened = new Socket();
        opened.setTcpNoDelay(true);
        opened.connect(new InetSocketAddress(ip, deployment.outboundPort), 1000);
        socket = opened;
        in = new BufferedInputStream(opened.getInputStream());
    }

    /** Sends one request on the kept connection and waits for its answer until the deadline and a little longer. */
    Result call(String method, String path, byte[] body, long deadlineMillis, boolean record) {
        String id = newId();
        long start = System.nanoTime();
        String outcome;
        int status = 0;
        try {
            if (socket == null) {
                connect();
            }
            socket.setSoTimeout((int) deadlineMillis + 1500);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + Deployment.ROUTE_HOST
                    + "\r\nJaywick-Request-Id: " + id + "\r\nJaywick-Deadline-Ms: " + deadlineMillis + "\r\n"
                    + (method.equals("GET") ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n";
            if (record) {
                deployment.log.line("sent " + id + " to " + ip + " " + method + " " + path + " body " + body.length);
            }
            Http.write(socket.getOutputStream(), head, body);
            Http.Message answer = Http.read(in);
            if (answer == null) {
                outcome = "closed without an answer";
                close();
            } else {
                status = answer.status();
                outcome = status + " stamp " + answer.header("Jaywick-Server-Stamp") + " body " + answer.body().length;
                if ("close".equalsIgnoreCase(answer.header("Connection"))) {
                    close();
                }
            }
        } catch (SocketTimeoutException e) {
            outcome = "no answer";
            close();
        } catch (IOException e) {
            outcome = "failed: " + e.getMessage();
            close();
        }
        long millis = (System.nanoTime() - start) / 1_000_000;
        if (record) {
            deployment.log.line("end " + id + " after " + millis + " ms: " + outcome);
        }
        return new Result(id, outcome, status, millis);
    }

    @Override
    public void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // Nothing is lost with it.
        }
        socket = null;
    }
}
