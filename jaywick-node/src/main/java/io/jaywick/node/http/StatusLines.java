package io.jaywick.node.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpResponse;

/** Checks status lines, and finds those that do not stand at the start of a response head. */
public final class StatusLines {

    private static final String STATUS_LINE_START = "HTTP/1.";

    /** A status line (RFC 9112, section 4). */
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.\\d \\d{3}(?!\\d)");

    private static final Pattern CHUNKED =
            Pattern.compile("\r\nTransfer-Encoding:[^\r\n]*chunked", Pattern.CASE_INSENSITIVE);

    private static final String LAST_CHUNK = "\r\n0\r\n";

    /** Three digits, as every recipient can read them (RFC 9110, section 15). */
    private static final Pattern STATUS = Pattern.compile("[1-5][0-9]{2}");

    private static final int MIN_FINAL_STATUS = 200;
    private static final int MAX_STATUS = 599;

    private StatusLines() {}

    /**
     * Checks the status of a status line. A decoder accepts every number, also with a sign or leading zeros.
     *
     * @throws IllegalArgumentException when it is not a number of three digits from 100 to 599
     */
    public static void checkStatus(String text) {
        if (!STATUS.matcher(text).matches()) {
            throw new IllegalArgumentException("invalid status in the response: " + text);
        }
    }

    /** Returns whether a status is one of a final response. */
    public static boolean isFinalStatus(int status) {
        return status >= MIN_FINAL_STATUS && status <= MAX_STATUS;
    }

    /**
     * Returns whether the reason phrase or a header contains a status line. Then the head consists of two: the first
     * one was cut, and its last line continues with the status line of the second one.
     */
    public static boolean hasSecond(HttpResponse response) {
        return isContainedIn(response.status().reasonPhrase())
                || response.headers().entries().stream()
                        .map(Map.Entry::getValue)
                        .anyMatch(StatusLines::isContainedIn);
    }

    /**
     * Returns whether a status line starts in the body of a response to which other bytes were sent after it. Then the
     * body was cut, and the next response completed its length.
     */
    public static boolean startsInBody(byte[] body, String bytesAfter) {
        Matcher line = STATUS_LINE.matcher(new String(body, StandardCharsets.ISO_8859_1) + bytesAfter);
        return line.find() && line.start() < body.length;
    }

    /**
     * Returns whether a chunked response starts in the body of another one, but its last chunk is not in the body. Then
     * the body was cut in a chunk, and the last chunk of the second response ended the first one as well.
     */
    public static boolean endsInChunkedResponse(byte[] body) {
        String text = new String(body, StandardCharsets.ISO_8859_1);
        Matcher line = STATUS_LINE.matcher(text);
        if (!line.find()) {
            return false;
        }
        int headEnd = text.indexOf("\r\n\r\n", line.end());
        String head = text.substring(line.end(), headEnd < 0 ? text.length() : headEnd);
        return CHUNKED.matcher(head).find() && text.indexOf(LAST_CHUNK, line.end()) < 0;
    }

    private static boolean isContainedIn(String text) {
        return text.contains(STATUS_LINE_START) && STATUS_LINE.matcher(text).find();
    }
}
