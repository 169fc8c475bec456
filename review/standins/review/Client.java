package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One connection of a client. */
final class Client implements AutoCloseable {

    final Socket socket = new Socket();
    final InputStream in;

    Client(String host, int port, int receiveBufferBytes, int timeoutMillis) throws IOException {
        if (receiveBufferBytes > 0) {
            socket.setReceiveBufferSize(receiveBufferBytes);
        }
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(host, port), 1_000);
        socket.setSoTimeout(timeoutMillis);
        in = new BufferedInputStream(socket.getInputStream());
    }

    static byte[] request(String method, String target, String id, long deadlineMillis, byte[] body) {
        String head = method + " " + target + " HTTP/1.1\r\nHost: " + Fleet.HOST + "\r\nJaywick-Request-Id: " + id
                + "\r\nJaywick-Deadline-Ms: " + deadlineMillis + "\r\n"
                + (body.length > 0 || !method.equals("GET") ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n";
        byte[] bytes = new byte[head.length() + body.length];
        System.arraycopy(head.getBytes(StandardCharsets.US_ASCII), 0, bytes, 0, head.length());
        System.arraycopy(body, 0, bytes, head.length(), body.length);
        return bytes;
    }

    void send(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
    }

    /** Status of a GET without an id, or 0 when there is no response within a second. */
    static int get(String host, int port, String path) {
        try (Client client = new Client(host, port, 0, 1_000)) {
            client.send(("GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\nConnection: close\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
            HttpMessage response = HttpMessage.read(client.in);
            return response == null ? 0 : response.status();
        } catch (IOException e) {
            return 0;
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
