package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** One HTTP/1.1 request or response as it was received. */
final class HttpMessage {

    final String startLine;
    final Map<String, String> headers;
    final byte[] body;

    private HttpMessage(String startLine, Map<String, String> headers, byte[] body) {
        this.startLine = startLine;
        this.headers = headers;
        this.body = body;
    }

    /** Reads a message; returns null at the end of the stream before its first byte. */
    static HttpMessage read(InputStream in) throws IOException {
        String start = line(in, true);
        if (start == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String line = line(in, false); !line.isEmpty(); line = line(in, false)) {
            int colon = line.indexOf(':');
            if (colon < 0) {
                throw new IOException("header without a colon: " + line);
            }
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        String length = headers.get("content-length");
        byte[] body = new byte[length == null ? 0 : Integer.parseInt(length)];
        int read = in.readNBytes(body, 0, body.length);
        if (read < body.length) {
            throw new EOFException("body ended after " + read + " of " + body.length + " bytes");
        }
        return new HttpMessage(start, headers, body);
    }

    private static String line(InputStream in, boolean first) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                if (first && line.size() == 0) {
                    return null;
                }
                throw new EOFException("message ended within its head");
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    String header(String name) {
        return headers.get(name.toLowerCase(Locale.ROOT));
    }

    String method() {
        return startLine.split(" ")[0];
    }

    String target() {
        return startLine.split(" ")[1];
    }

    int status() {
        return Integer.parseInt(startLine.split(" ")[1]);
    }
}
