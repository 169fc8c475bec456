package io.jaywick.node.frame;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import io.jaywick.core.message.FieldReader;

/**
 * Reads fields from MessagePack data in memory, also values that were not written in their shortest format.
 * {@link MessagePackBounds} must have checked the data.
 */
final class MessagePackReader implements FieldReader {

    private static final byte[] NO_BYTES = new byte[0];

    private final byte[] data;
    private final int start;
    private final int end;
    private int position;

    MessagePackReader(byte[] bytes, int start, int end) {
        this.data = bytes;
        this.start = start;
        this.end = end;
        this.position = start;
    }

    /** Returns the number of bytes read. */
    int position() {
        return position - start;
    }

    private int readFormat() {
        return data[position++] & 0xff;
    }

    private boolean tryReadNil() {
        if ((data[position] & 0xff) == MessagePackFormat.NIL) {
            position++;
            return true;
        }
        return false;
    }

    /** Reads a number of the given length, big-endian, as an unsigned one. */
    private long readNumber(int bytes) {
        long number = 0;
        for (int i = 0; i < bytes; i++) {
            number = number << 8 | data[position++] & 0xff;
        }
        return number;
    }

    /** Lengths fit an int because {@link MessagePackBounds} has compared them with the length of the frame. */
    private int readLength(int bytes) {
        return (int) readNumber(bytes);
    }

    private static IllegalArgumentException unexpected(String wanted, int format) {
        return new IllegalArgumentException("expected " + wanted + ", found format " + Integer.toHexString(format));
    }

    @Override
    public int begin() {
        return tryReadNil() ? -1 : readMapHeader();
    }

    @Override
    public String name() {
        return text();
    }

    @Override
    public String text() {
        if (tryReadNil()) {
            return "";
        }
        int length = readPayloadLength("text");
        position += length;
        return new String(data, position - length, length, StandardCharsets.UTF_8);
    }

    /** Texts and byte arrays are read as each other, because old writers had only one format for both. */
    private int readPayloadLength(String wanted) {
        int format = readFormat();
        if ((format & 0xe0) == MessagePackFormat.SHORT_TEXT) {
            return format & 0x1f;
        }
        return switch (format) {
            case MessagePackFormat.TEXT_8, MessagePackFormat.BYTES_8 -> readLength(1);
            case MessagePackFormat.TEXT_16, MessagePackFormat.BYTES_16 -> readLength(2);
            case MessagePackFormat.TEXT_32, MessagePackFormat.BYTES_32 -> readLength(4);
            default -> throw unexpected(wanted, format);
        };
    }

    @Override
    public long whole() {
        return tryReadNil() ? 0 : readWhole(readFormat());
    }

    private long readWhole(int format) {
        if (format < MessagePackFormat.SHORT_MAP || format >= 0xe0) {
            return (byte) format;
        }
        return switch (format) {
            case MessagePackFormat.UNSIGNED_8 -> readNumber(1);
            case MessagePackFormat.UNSIGNED_16 -> readNumber(2);
            case MessagePackFormat.UNSIGNED_32 -> readNumber(4);
            case MessagePackFormat.UNSIGNED_64 -> {
                long number = readNumber(8);
                if (number < 0) {
                    throw new ArithmeticException("the number exceeds 63 bits");
                }
                yield number;
            }
            case MessagePackFormat.SIGNED_8 -> (byte) readNumber(1);
            case MessagePackFormat.SIGNED_16 -> (short) readNumber(2);
            case MessagePackFormat.SIGNED_32 -> (int) readNumber(4);
            case MessagePackFormat.SIGNED_64 -> readNumber(8);
            default -> throw unexpected("a whole number", format);
        };
    }

    @Override
    public double decimal() {
        if (tryReadNil()) {
            return 0;
        }
        int format = readFormat();
        return switch (format) {
            case MessagePackFormat.DECIMAL_32 -> Float.intBitsToFloat((int) readNumber(4));
            case MessagePackFormat.DECIMAL_64 -> Double.longBitsToDouble(readNumber(8));
            default -> readWhole(format);
        };
    }

    @Override
    public boolean flag() {
        if (tryReadNil()) {
            return false;
        }
        int format = readFormat();
        return switch (format) {
            case MessagePackFormat.TRUE -> true;
            case MessagePackFormat.FALSE -> false;
            default -> throw unexpected("a flag", format);
        };
    }

    @Override
    public byte[] bytes() {
        if (tryReadNil()) {
            return NO_BYTES;
        }
        int length = readPayloadLength("bytes");
        position += length;
        return Arrays.copyOfRange(data, position - length, position);
    }

    @Override
    public int beginList() {
        if (tryReadNil()) {
            return 0;
        }
        int format = readFormat();
        if ((format & 0xf0) == MessagePackFormat.SHORT_LIST) {
            return format & 0x0f;
        }
        return switch (format) {
            case MessagePackFormat.LIST_16 -> readLength(2);
            case MessagePackFormat.LIST_32 -> readLength(4);
            default -> throw unexpected("a list", format);
        };
    }

    @Override
    public int beginMap() {
        return tryReadNil() ? 0 : readMapHeader();
    }

    private int readMapHeader() {
        int format = readFormat();
        if ((format & 0xf0) == MessagePackFormat.SHORT_MAP) {
            return format & 0x0f;
        }
        return switch (format) {
            case MessagePackFormat.MAP_16 -> readLength(2);
            case MessagePackFormat.MAP_32 -> readLength(4);
            default -> throw unexpected("a map", format);
        };
    }

    @Override
    public void skip() {
        position = MessagePackBounds.endOfValue(data, position, end);
    }
}
