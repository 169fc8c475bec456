package io.jaywick.node.frame;

import java.nio.ByteBuffer;

import io.jaywick.core.message.Hello;
import io.jaywick.core.message.Message;

/**
 * Encodes and decodes frames. A frame consists of the length of its remainder in 4 bytes, big-endian, a 1-byte protocol
 * version and a MessagePack map of {@code type}, {@code id} and {@code body}. See docs/design.md, section 4.
 * Thread-safe.
 */
public final class FrameCodec {

    /** Protocol version of this build. */
    public static final int CURRENT_VERSION = 3;

    /** First protocol version that includes {@code GoAway}. */
    public static final int FIRST_VERSION_WITH_GO_AWAY = 3;

    /** Length of the length field in bytes. */
    public static final int LENGTH_BYTES = 4;

    /** Largest value of the length field in bytes. */
    public static final int MAX_LENGTH_BYTES = (1 << 20) + (64 << 10);

    private static final int ENVELOPE_FIELDS = 3;

    private final int currentVersion;

    public FrameCodec() {
        this(CURRENT_VERSION);
    }

    /** Creates a codec with the given newest protocol version, which lets tests pair adjacent versions. */
    public FrameCodec(int current) {
        this.currentVersion = current;
    }

    /** Returns the newest protocol version that is accepted. */
    public int maxVersion() {
        return currentVersion;
    }

    /** Returns the oldest protocol version that is accepted. */
    public int minVersion() {
        return currentVersion - 1;
    }

    /**
     * Encodes one frame with its length field.
     *
     * @throws FrameException if the message is too long
     */
    public byte[] encode(int version, long id, Message message) {
        MessagePackWriter writer = new MessagePackWriter(LENGTH_BYTES + 1);
        writer.beginMap(ENVELOPE_FIELDS);
        writer.name("type");
        writer.text(message.getClass().getSimpleName());
        writer.name("id");
        writer.whole(id);
        writer.name("body");
        message.writeTo(writer);
        byte[] frame = writer.bytes();
        frame[LENGTH_BYTES] = (byte) version;
        int length = frame.length - LENGTH_BYTES;
        if (length > MAX_LENGTH_BYTES) {
            throw new FrameException("too-long", id, false, "message of " + length + " bytes");
        }
        ByteBuffer.wrap(frame).putInt(length);
        return frame;
    }

    /**
     * Decodes one frame without its length field.
     *
     * @throws FrameException if it is not a frame of an accepted version with a known type and a readable body
     */
    public Frame decode(byte[] frame) {
        if (frame.length == 0) {
            throw new FrameException("truncated", 0, true, "empty frame");
        }
        if (frame.length > MAX_LENGTH_BYTES) {
            throw new FrameException("too-long", 0, true, "frame of " + frame.length + " bytes");
        }
        int version = frame[0] & 0xff;
        if (version > currentVersion + 1 || version < currentVersion - 1) {
            throw badVersionException(version);
        }
        if (!MessagePackBounds.isValid(frame, 1, frame.length)) {
            throw new FrameException("truncated", 0, true, "the frame does not hold exactly one MessagePack value");
        }
        Frame decoded = decodeEnvelope(version, frame);
        // A node of the next version sends Hello in its own version; the ranges in Hello determine the common version.
        if (version > currentVersion && !(decoded.message() instanceof Hello)) {
            throw badVersionException(version);
        }
        return decoded;
    }

    /** Returns the exception for a length field over the limit, after which the connection is unusable. */
    public FrameException tooLongException() {
        return new FrameException("too-long", 0, true, "a frame holds at most " + MAX_LENGTH_BYTES + " bytes");
    }

    private FrameException badVersionException(int version) {
        return new FrameException(
                "bad-version",
                0,
                true,
                "version " + version + ", accepted are " + (currentVersion - 1) + " to " + currentVersion);
    }

    private static Frame decodeEnvelope(int version, byte[] frame) {
        String type = null;
        long id = 0;
        Message message = null;
        int bodyOffset = -1;
        MessagePackReader reader = new MessagePackReader(frame, 1, frame.length);
        try {
            int fields = reader.begin();
            if (fields < 0) {
                throw new FrameException("bad-body", 0, true, "the frame holds no map");
            }
            for (; fields > 0; fields--) {
                switch (reader.name()) {
                    case "type" -> {
                        type = reader.text();
                    }
                    case "id" -> {
                        id = reader.whole();
                    }
                    case "body" -> {
                        if (type != null && Message.TYPES.contains(type)) {
                            message = Message.read(type, reader);
                        } else {
                            bodyOffset = 1 + reader.position();
                            reader.skip();
                        }
                    }
                    default -> reader.skip();
                }
            }
            if (type != null && !Message.TYPES.contains(type)) {
                throw new FrameException("unknown-type", id, false, "unknown message type");
            }
            if (message == null && bodyOffset >= 0 && type != null) {
                message = Message.read(type, new MessagePackReader(frame, bodyOffset, frame.length));
            }
        } catch (RuntimeException e) {
            if (e instanceof FrameException frameException) {
                throw frameException;
            }
            throw new FrameException("bad-body", id, false, "unreadable body: " + e.getMessage());
        }
        if (message == null) {
            throw new FrameException("bad-body", id, false, "type or body is missing");
        }
        return new Frame(version, id, message);
    }
}
