package io.jaywick.node.frame;

import java.util.Arrays;
import java.util.List;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * Compresses frames with a preset dictionary (RFC 1950). Most of a call without a body is names of fields and headers,
 * which are the same in each frame. Both sides must use the same dictionary; the format detects a difference.
 * Thread-safe.
 */
final class FrameCompression {

    /** Texts of the messages that travel most. Must be equal on all nodes of a protocol version. */
    private static final List<String> MESSAGE_TEXTS = List.of(
            "type",
            "SourceQuery",
            "SourceState",
            "UpToDate",
            "version",
            "era",
            "revision",
            "eraStart",
            "formerEra",
            "formerRevision",
            "changed",
            "keys",
            "graceMillis",
            "retained",
            "ageMillis",
            "key",
            "value",
            "removed",
            "packed",
            "baseRevision",
            "baseEra",
            "{\"service\":\"",
            "\",\"address\":\"",
            "\",\"zone\":\"",
            "\",\"version\":\"",
            "\",\"slots\":",
            "\",\"state\":\"ready\",\"cold-remaining\":\"0ms\",\"sequence\":",
            "ForwardCancel",
            "ForwardAnswer",
            "id",
            "body",
            "outcome",
            "REFUSED",
            "busy",
            "SHED",
            "target-shed",
            "ANSWERED",
            "reason",
            "status-200",
            "status",
            "headers",
            "Content-Type",
            "application/octet-stream",
            "text/plain",
            "Date",
            "Server",
            "expectedMillis",
            "waitMillis",
            "ForwardCall",
            "callId",
            "requestId",
            "method",
            "POST",
            "GET",
            "uri",
            "Host",
            ".example",
            "User-Agent",
            "Accept",
            "*/*",
            "Accept-Encoding",
            "identity",
            "service",
            "instanceId",
            "route",
            "idempotent",
            "priority",
            "objectiveMillis",
            "remainingMillis",
            "trial",
            "hedge",
            "foreign",
            "repeated",
            "rateLimit");

    private final byte[] dictionary;
    private Deflater deflater;
    private Inflater inflater;

    /**
     * Creates a compression without native memory, which is allocated with the first frame.
     *
     * @param headerNames further texts of the dictionary, in the same order on all nodes
     */
    FrameCompression(List<String> headerNames) {
        MessagePackWriter writer = new MessagePackWriter();
        MESSAGE_TEXTS.forEach(writer::text);
        headerNames.forEach(writer::text);
        this.dictionary = writer.bytes();
    }

    /** Returns the compressed bytes from the offset on, or null if they would not be shorter. */
    synchronized byte[] deflate(byte[] bytes, int offset) {
        if (deflater == null) {
            deflater = new Deflater(Deflater.BEST_SPEED);
        }
        deflater.reset();
        deflater.setDictionary(dictionary);
        deflater.setInput(bytes, offset, bytes.length - offset);
        deflater.finish();
        byte[] compressed = new byte[bytes.length - offset];
        int length = deflater.deflate(compressed);
        return deflater.finished() ? Arrays.copyOf(compressed, length) : null;
    }

    /**
     * Returns the bytes that were compressed.
     *
     * @throws FrameException if they are not compressed with this dictionary, or longer than allowed
     */
    synchronized byte[] inflate(byte[] bytes, int offset, int maxLengthBytes) {
        if (inflater == null) {
            inflater = new Inflater();
        }
        inflater.reset();
        inflater.setInput(bytes, offset, bytes.length - offset);
        byte[] inflated = new byte[Math.min(maxLengthBytes, 4 * bytes.length)];
        int length = 0;
        try {
            while (!inflater.finished()) {
                if (length == maxLengthBytes) {
                    throw new FrameException("too-long", 0, true, "compressed frame of more than " + length + " bytes");
                }
                if (length == inflated.length) {
                    inflated = Arrays.copyOf(inflated, Math.min(maxLengthBytes, 2 * length));
                }
                int count = inflater.inflate(inflated, length, inflated.length - length);
                length += count;
                if (inflater.needsDictionary()) {
                    inflater.setDictionary(dictionary);
                } else if (count == 0 && inflater.needsInput()) {
                    throw new FrameException("truncated", 0, true, "truncated compressed frame");
                }
            }
        } catch (DataFormatException | IllegalArgumentException e) {
            throw new FrameException("bad-body", 0, true, "unreadable compressed frame: " + e.getMessage());
        }
        return Arrays.copyOf(inflated, length);
    }
}
