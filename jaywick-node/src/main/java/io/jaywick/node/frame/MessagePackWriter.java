package io.jaywick.node.frame;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import io.jaywick.core.message.FieldWriter;

/**
 * Writes fields as MessagePack into memory, each value in its shortest format. Most of the processor time that nodes
 * spend on a frame is encoding and decoding, so that it does neither through the general library.
 */
final class MessagePackWriter implements FieldWriter {

    /** Most messages fit in one buffer of this size. */
    private static final int BUFFER_BYTES = 1_024;

    private byte[] buffer = new byte[BUFFER_BYTES];
    private int position;

    /** @param reservedBytes bytes before the first value that the caller fills in */
    MessagePackWriter(int reservedBytes) {
        this.position = reservedBytes;
    }

    /** Returns the reserved bytes, as zeros, and the values. */
    byte[] bytes() {
        return Arrays.copyOf(buffer, position);
    }

    private void reserve(int bytes) {
        if (buffer.length - position < bytes) {
            buffer = Arrays.copyOf(buffer, Math.max(2 * buffer.length, position + bytes));
        }
    }

    private void writeByte(int value) {
        reserve(1);
        buffer[position++] = (byte) value;
    }

    /** Writes a format byte and the lowest bytes of a number, big-endian. */
    private void writeNumber(int format, long value, int bytes) {
        reserve(1 + bytes);
        buffer[position++] = (byte) format;
        for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
            buffer[position++] = (byte) (value >> shift);
        }
    }

    private void writePayload(byte[] payload) {
        reserve(payload.length);
        System.arraycopy(payload, 0, buffer, position, payload.length);
        position += payload.length;
    }

    @Override
    public void begin(int fields) {
        beginMap(fields);
    }

    @Override
    public void name(String name) {
        text(name);
    }

    @Override
    public void text(String value) {
        if (value == null) {
            nothing();
            return;
        }
        byte[] payload = value.getBytes(StandardCharsets.UTF_8);
        if (payload.length < 32) {
            writeByte(MessagePackFormat.SHORT_TEXT | payload.length);
        } else {
            writeLength(MessagePackFormat.TEXT_8, payload.length);
        }
        writePayload(payload);
    }

    /** Writes a length with the format for one byte, or one of the next two formats for two or four bytes. */
    private void writeLength(int formatOfOneByte, int length) {
        if (length < 1 << 8) {
            writeNumber(formatOfOneByte, length, 1);
        } else {
            writeLongLength(formatOfOneByte + 1, length);
        }
    }

    private void writeLongLength(int formatOfTwoBytes, int length) {
        if (length < 1 << 16) {
            writeNumber(formatOfTwoBytes, length, 2);
        } else {
            writeNumber(formatOfTwoBytes + 1, length, 4);
        }
    }

    @Override
    public void whole(long value) {
        if (value >= -32 && value < 128) {
            writeByte((int) value);
        } else if (value >= 0) {
            if (value < 1L << 8) {
                writeNumber(MessagePackFormat.UNSIGNED_8, value, 1);
            } else if (value < 1L << 16) {
                writeNumber(MessagePackFormat.UNSIGNED_16, value, 2);
            } else if (value < 1L << 32) {
                writeNumber(MessagePackFormat.UNSIGNED_32, value, 4);
            } else {
                writeNumber(MessagePackFormat.UNSIGNED_64, value, 8);
            }
        } else if (value >= Byte.MIN_VALUE) {
            writeNumber(MessagePackFormat.SIGNED_8, value, 1);
        } else if (value >= Short.MIN_VALUE) {
            writeNumber(MessagePackFormat.SIGNED_16, value, 2);
        } else if (value >= Integer.MIN_VALUE) {
            writeNumber(MessagePackFormat.SIGNED_32, value, 4);
        } else {
            writeNumber(MessagePackFormat.SIGNED_64, value, 8);
        }
    }

    @Override
    public void decimal(double value) {
        writeNumber(MessagePackFormat.DECIMAL_64, Double.doubleToRawLongBits(value), 8);
    }

    @Override
    public void flag(boolean value) {
        writeByte(value ? MessagePackFormat.TRUE : MessagePackFormat.FALSE);
    }

    @Override
    public void bytes(byte[] value) {
        if (value == null) {
            nothing();
        } else {
            writeLength(MessagePackFormat.BYTES_8, value.length);
            writePayload(value);
        }
    }

    @Override
    public void nothing() {
        writeByte(MessagePackFormat.NIL);
    }

    @Override
    public void beginList(int values) {
        if (values < 16) {
            writeByte(MessagePackFormat.SHORT_LIST | values);
        } else {
            writeLongLength(MessagePackFormat.LIST_16, values);
        }
    }

    @Override
    public void beginMap(int keys) {
        if (keys < 16) {
            writeByte(MessagePackFormat.SHORT_MAP | keys);
        } else {
            writeLongLength(MessagePackFormat.MAP_16, keys);
        }
    }
}
