package io.jaywick.node.frame;

import java.io.IOException;
import java.io.UncheckedIOException;

import io.jaywick.core.message.FieldReader;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;

/** Reads fields from MessagePack data in memory. {@link MessagePackBounds} must have checked the data. */
final class MessagePackReader implements FieldReader {

    private static final byte[] NO_BYTES = new byte[0];

    private final MessageUnpacker unpacker;

    MessagePackReader(byte[] bytes, int start, int end) {
        this.unpacker = MessagePack.newDefaultUnpacker(bytes, start, end - start);
    }

    @FunctionalInterface
    private interface Unpacking<T> {
        T run() throws IOException;
    }

    private <T> T unpackOrDefault(T valueForNil, Unpacking<T> unpacking) {
        try {
            return unpacker.tryUnpackNil() ? valueForNil : unpacking.run();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the number of bytes read. */
    int position() {
        return (int) unpacker.getTotalReadBytes();
    }

    @Override
    public int begin() {
        return unpackOrDefault(-1, unpacker::unpackMapHeader);
    }

    @Override
    public String name() {
        return text();
    }

    @Override
    public String text() {
        return unpackOrDefault("", unpacker::unpackString);
    }

    @Override
    public long whole() {
        return unpackOrDefault(0L, unpacker::unpackLong);
    }

    @Override
    public double decimal() {
        return unpackOrDefault(
                0.0,
                () -> unpacker.getNextFormat().getValueType() == ValueType.INTEGER
                        ? (double) unpacker.unpackLong()
                        : unpacker.unpackDouble());
    }

    @Override
    public boolean flag() {
        return unpackOrDefault(false, unpacker::unpackBoolean);
    }

    @Override
    public byte[] bytes() {
        return unpackOrDefault(NO_BYTES, () -> unpacker.readPayload(unpacker.unpackBinaryHeader()));
    }

    @Override
    public int beginList() {
        return unpackOrDefault(0, unpacker::unpackArrayHeader);
    }

    @Override
    public int beginMap() {
        return unpackOrDefault(0, unpacker::unpackMapHeader);
    }

    @Override
    public void skip() {
        unpackOrDefault(null, () -> {
            unpacker.skipValue();
            return null;
        });
    }
}
