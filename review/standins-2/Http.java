import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** HTTP/1.1 messages on plain sockets. */
final class Http {

    private Http() {}

    /** A message with the names of its headers in lower case. */
    record Message(String startLine, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int next;
        while ((next = in.read()) != '\n') {
            if (next < 0) {
                if (bytes.size() == 0) {
                    return null;
                }
                throw new EOFException("connection closed within a line");
            }
            if (next != '\r') {
                bytes.write(next);
            }
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads the head of a message; returns null at the end of the stream. */
    static Message head(InputStream in) throws IOException {
        String start = line(in);
        if (start == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        String next;
        while (!(next = required(line(in))).isEmpty()) {
            int colon = next.indexOf(':');
            if (colon > 0) {
                headers.put(next.substring(0, colon).toLowerCase(Locale.ROOT), next.substring(colon + 1).trim());
            }
        }
        return new Message(start, headers, new byte[0]);
    }

    private static String required(String line) throws IOException {
        if (line == null) {
            throw new EOFException("connection closed within a head");
        }
        return line;
    }

    /** Reads a message with a length, in chunks or without a body; returns null at the end of the stream. */
    static Message read(InputStream in) throws IOException {
        Message head = head(in);
        if (head == null) {
            return null;
        }
        byte[] body = new byte[0];
        if (head.header("content-length") != null) {
            int length = Integer.parseInt(head.header("content-length"));
            body = in.readNBytes(length);
            if (body.length < length) {
                throw new EOFException("connection closed within a body");
            }
        } else if ("chunked".equalsIgnoreCase(head.header("transfer-encoding"))) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            int size;
            while ((size = Integer.parseInt(required(line(in)).split(";")[0].trim(), 16)) > 0) {
                byte[] chunk = in.readNBytes(size);
                if (chunk.length < size) {
                    throw new EOFException("connection closed within a chunk");
                }
                all.write(chunk);
                line(in);
            }
            line(in);
            body = all.toByteArray();
        }
        return new Message(head.startLine(), head.headers(), body);
    }

    static void write(OutputStream out, String head, byte[] body) throws IOException {
        byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[headBytes.length + body.length];
        System.arraycopy(headBytes, 0, all, 0, headBytes.length);
        System.arraycopy(body, 0, all, headBytes.length, body.length);
        out.write(all);
        out.flush();
    }

    /** Returns the status of a request without a body on a new connection. */
    static int get(String ip, int port, String path, int timeoutMillis) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port), timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            write(socket.getOutputStream(), "GET " + path + " HTTP/1.1\r\nHost: " + ip + "\r\n\r\n", new byte[0]);
            Message answer = head(socket.getInputStream());
            if (answer == null) {
                throw new EOFException("no answer");
            }
            return answer.status();
        }
    }
}
