package io.jaywick.node.frame;

import java.nio.ByteBuffer;

import io.jaywick.core.message.Hello;
import io.jaywick.core.message.Message;

/**
 * Encodes and decodes frames as docs/design.md, section 4, lays them out: a 4-byte big-endian length of what follows,
 * a 1-byte protocol version and a MessagePack map of {@code type}, {@code id} and {@code body}. Safe for use by many
 * threads.
 */
public final class FrameCodec {

    /** Protocol version that this build speaks. */
    public static final int CURRENT_VERSION = 3;

    /** First protocol version whose nodes know {@code GoAway}. */
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

    /** Makes a codec whose newest protocol version is the given one; tests pair neighbouring versions with it. */
    public FrameCodec(int current) {
        this.currentVersion = current;
    }

    /** Newest protocol version that is accepted. */
    public int maxVersion() {
        return currentVersion;
    }

    /** Oldest protocol version that is accepted. */
    public int minVersion() {
        return currentVersion - 1;
    }

    /**
     * Encodes one frame with its length field.
     *
     * @throws FrameException when the message is too long
     */
    public byte[] encode(int version, long id, Message message) {
        MessagePackWriter writer = new MessagePackWriter();
        writer.beginMap(ENVELOPE_FIELDS);
        writer.name("type");
        writer.text(message.getClass().getSimpleName());
        writer.name("id");
        writer.whole(id);
        writer.name("body");
        message.writeTo(writer);
        byte[] envelope = writer.bytes();
        byte[] frame = new byte[LENGTH_BYTES + 1 + envelope.length];
        frame[LENGTH_BYTES] = (byte) version;
        System.arraycopy(envelope, 0, frame, LENGTH_BYTES + 1, envelope.length);
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
     * @throws FrameException when it is not a frame of an accepted version with a known type and a readable body
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
        // A node of the next version greets in its own version; the ranges in Hello then settle the common one.
        if (version > currentVersion && !(decoded.message() instanceof Hello)) {
            throw badVersionException(version);
        }
        return decoded;
    }

    /** The fault of a length field over the limit, after which the connection cannot be used. */
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
