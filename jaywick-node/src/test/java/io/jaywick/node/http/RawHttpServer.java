package io.jaywick.node.http;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.UnaryOperator;

/** Answers GET requests with any bytes, also with more than one response. */
public final class RawHttpServer implements AutoCloseable {

    /** Texts in the place of a status that no response may have (RFC 9110, section 15). */
    public static final List<String> INVALID_STATUSES = List.of(
            "000", "0", "007", "099", "99", "600", "999", "20", "2000", "0200", "-1", "-200", "+200", "200.", "2OO",
            "OK");

    private final ServerSocket socket;
    private final BlockingQueue<Connection> connections = new LinkedBlockingQueue<>();

    /** An accepted connection with the thread that serves it until the client closes it. */
    public record Connection(Socket socket, Thread server) {

        private static final long CLOSE_TIMEOUT_MILLIS = 20_000;

        /** Sends bytes outside an exchange. */
        public void send(String bytes) throws IOException {
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
        }

        /** Waits until the client has closed the connection; returns whether it has. */
        public boolean awaitClose() throws InterruptedException {
            server.join(CLOSE_TIMEOUT_MILLIS);
            return !server.isAlive();
        }
    }

    /** Starts a server that answers each request with the bytes that a function returns for its URI. */
    public RawHttpServer(UnaryOperator<String> responses) throws IOException {
        socket = new ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"));
        Thread acceptor = new Thread(() -> acceptAll(responses), "raw-http-acceptor");
        acceptor.setDaemon(true);
        acceptor.start();
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) socket.getLocalSocketAddress();
    }

    /** Returns the next accepted connection. */
    public Connection takeConnection() throws InterruptedException {
        return connections.take();
    }

    private void acceptAll(UnaryOperator<String> responses) {
        try {
            while (true) {
                Socket connection = socket.accept();
                Thread server = new Thread(() -> serve(connection, responses), "raw-http-connection");
                server.setDaemon(true);
                server.start();
                connections.add(new Connection(connection, server));
            }
        } catch (IOException e) {
            // The test has closed the server.
        }
    }

    private static void serve(Socket connection, UnaryOperator<String> responses) {
        try (connection) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
            OutputStream out = connection.getOutputStream();
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (line.startsWith("GET ")) {
                    out.write(responses.apply(line.split(" ")[1]).getBytes(StandardCharsets.US_ASCII));
                    out.flush();
                }
            }
        } catch (IOException e) {
            // The client has closed the connection.
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
