package io.jaywick.node.frame;

import java.io.IOException;
import java.io.UncheckedIOException;

import io.jaywick.core.message.FieldWriter;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Writes fields as MessagePack into memory. */
final class MessagePackWriter implements FieldWriter {

    /** Most messages fit in one buffer of this size. */
    private static final int BUFFER_BYTES = 1_024;

    private static final MessagePack.PackerConfig CONFIG = new MessagePack.PackerConfig().withBufferSize(BUFFER_BYTES);

    private final MessageBufferPacker packer = CONFIG.newBufferPacker();

    @FunctionalInterface
    private interface Packing {
        void run() throws IOException;
    }

    /** Runs a packing step. The packer writes to memory, so that an I/O error is a programming error. */
    private static void pack(Packing packing) {
        try {
            packing.run();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    byte[] bytes() {
        return packer.toByteArray();
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
        pack(() -> {
            if (value == null) {
                packer.packNil();
            } else {
                packer.packString(value);
            }
        });
    }

    @Override
    public void whole(long value) {
        pack(() -> packer.packLong(value));
    }

    @Override
    public void decimal(double value) {
        pack(() -> packer.packDouble(value));
    }

    @Override
    public void flag(boolean value) {
        pack(() -> packer.packBoolean(value));
    }

    @Override
    public void bytes(byte[] value) {
        pack(() -> {
            if (value == null) {
                packer.packNil();
            } else {
                packer.packBinaryHeader(value.length);
                packer.writePayload(value);
            }
        });
    }

    @Override
    public void nothing() {
        pack(packer::packNil);
    }

    @Override
    public void beginList(int values) {
        pack(() -> packer.packArrayHeader(values));
    }

    @Override
    public void beginMap(int keys) {
        pack(() -> packer.packMapHeader(keys));
    }
}
