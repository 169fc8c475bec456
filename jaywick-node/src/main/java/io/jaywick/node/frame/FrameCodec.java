package io.jaywick.node.frame;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

import com.fasterxml.jackson.annotation.JsonSetter;
import com.fasterxml.jackson.annotation.Nulls;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jaywick.core.message.Hello;
import io.jaywick.core.message.Message;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes and decodes frames as docs/design.md, section 4, lays them out: a 4-byte big-endian length of what follows,
 * a 1-byte protocol version and a MessagePack map of {@code type}, {@code id} and {@code body}. Safe for use by many
 * threads.
 */
public final class FrameCodec {

    /** Protocol version that this build speaks. */
    public static final int CURRENT = 3;

    /** First protocol version whose nodes know {@code GoAway}. */
    public static final int FIRST_WITH_GO_AWAY = 3;

    /** Length of the length field in bytes. */
    public static final int LENGTH_BYTES = 4;

    /** Largest value of the length field in bytes. */
    public static final int MAX_LENGTH_BYTES = (1 << 20) + (64 << 10);

    private static final ObjectMapper MAPPER = mapper();

    private final int current;

    public FrameCodec() {
        this(CURRENT);
    }

    /** Makes a codec whose newest protocol version is the given one; tests pair neighbouring versions with it. */
    public FrameCodec(int current) {
        this.current = current;
    }

    /** Newest protocol version that is accepted. */
    public int maxVersion() {
        return current;
    }

    /** Oldest protocol version that is accepted. */
    public int minVersion() {
        return current - 1;
    }

    /**
     * Encodes one frame with its length field.
     *
     * @throws FrameException when the message is too long
     */
    public byte[] encode(int version, long id, Message message) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        bytes.write(0);
        bytes.write(0);
        bytes.write(0);
        bytes.write(0);
        bytes.write(version);
        try (JsonGenerator generator = MAPPER.getFactory().createGenerator(bytes)) {
            generator.writeStartObject();
            generator.writeStringField("type", message.getClass().getSimpleName());
            generator.writeNumberField("id", id);
            generator.writeFieldName("body");
            MAPPER.writeValue(generator, message);
            generator.writeEndObject();
        } catch (IOException e) {
            throw new FrameException("bad-body", id, false, "message cannot be encoded: " + e.getMessage());
        }
        byte[] frame = bytes.toByteArray();
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
        if (version > current + 1 || version < current - 1) {
            throw badVersion(version);
        }
        if (!MessagePackBounds.isValid(frame, 1, frame.length)) {
            throw new FrameException("truncated", 0, true, "the frame does not hold exactly one MessagePack value");
        }
        Frame decoded = envelope(version, frame);
        // A node of the next version greets in its own version; the ranges in Hello then settle the common one.
        if (version > current && !(decoded.message() instanceof Hello)) {
            throw badVersion(version);
        }
        return decoded;
    }

    /** The fault of a length field over the limit, after which the connection cannot be used. */
    public FrameException tooLong() {
        return new FrameException("too-long", 0, true, "a frame holds at most " + MAX_LENGTH_BYTES + " bytes");
    }

    private FrameException badVersion(int version) {
        return new FrameException(
                "bad-version", 0, true, "version " + version + ", accepted are " + (current - 1) + " to " + current);
    }

    private static Frame envelope(int version, byte[] frame) {
        String type = null;
        long id = 0;
        Message message = null;
        JsonNode early = null;
        try (JsonParser parser = MAPPER.getFactory().createParser(frame, 1, frame.length - 1)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new FrameException("bad-body", 0, true, "the frame holds no map");
            }
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String field = parser.currentName();
                parser.nextToken();
                if (field.equals("type")) {
                    type = parser.getText();
                } else if (field.equals("id")) {
                    id = parser.getLongValue();
                } else if (!field.equals("body")) {
                    parser.skipChildren();
                } else if (type == null || !Message.TYPES.containsKey(type)) {
                    early = MAPPER.readTree(parser);
                } else {
                    message = MAPPER.readValue(parser, Message.TYPES.get(type));
                }
            }
            if (type != null && !Message.TYPES.containsKey(type)) {
                throw new FrameException("unknown-type", id, false, "unknown message type");
            }
            if (message == null && early != null && type != null) {
                message = MAPPER.treeToValue(early, Message.TYPES.get(type));
            }
        } catch (IOException | RuntimeException e) {
            if (e instanceof FrameException known) {
                throw known;
            }
            throw new FrameException("bad-body", id, false, "unreadable body: " + e.getMessage());
        }
        if (message == null) {
            throw new FrameException("bad-body", id, false, "type or body is missing");
        }
        return new Frame(version, id, message);
    }

    private static ObjectMapper mapper() {
        ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
        mapper.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
        // A neighbouring version may lack a field; handlers then see an empty value instead of null.
        JsonSetter.Value empty = JsonSetter.Value.forValueNulls(Nulls.AS_EMPTY);
        mapper.configOverride(List.class).setSetterInfo(empty);
        mapper.configOverride(String.class).setSetterInfo(empty);
        mapper.configOverride(byte[].class).setSetterInfo(empty);
        return mapper;
    }
}
