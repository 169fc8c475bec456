package io.jaywick.node.frame;

import java.io.IOException;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** Compares the codec with the MessagePack library, whose format nodes of earlier versions read and write. */
class MessagePackTestCase {

    private static final int[] LENGTHS = {0, 1, 15, 16, 31, 32, 255, 256, 65_535, 65_536};

    private final MessagePackWriter writer = new MessagePackWriter(0);
    private final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();

    private static long[] numbers() {
        return LongStream.range(0, 64)
                .flatMap(bit -> LongStream.of((1L << bit) - 1, 1L << bit, -(1L << bit), -(1L << bit) - 1))
                .toArray();
    }

    private MessagePackReader readerOfPacked() throws IOException {
        byte[] bytes = packer.toByteArray();
        return new MessagePackReader(bytes, 0, bytes.length);
    }

    /** Guards against frames that nodes of earlier versions cannot read. */
    @Test
    void writesTheBytesOfTheLibrary() throws IOException {
        for (long number : numbers()) {
            writer.whole(number);
            packer.packLong(number);
        }
        for (int length : LENGTHS) {
            writer.text("x".repeat(length));
            packer.packString("x".repeat(length));
            writer.bytes(new byte[length]);
            packer.packBinaryHeader(length);
            packer.writePayload(new byte[length]);
            writer.beginList(length);
            packer.packArrayHeader(length);
            writer.beginMap(length);
            packer.packMapHeader(length);
        }
        writer.text("\u00e9\u20ac\ud83d\ude00");
        packer.packString("\u00e9\u20ac\ud83d\ude00");
        writer.decimal(0.1);
        packer.packDouble(0.1);
        writer.flag(true);
        packer.packBoolean(true);
        writer.flag(false);
        packer.packBoolean(false);
        writer.text(null);
        packer.packNil();
        assertThat(writer.bytes(), is(packer.toByteArray()));
    }

    /** Guards against values of nodes of earlier versions that are read wrongly. */
    @Test
    void readsWhatTheLibraryWrites() throws IOException {
        for (long number : numbers()) {
            packer.packLong(number);
        }
        packer.packInt(7)
                .packDouble(0.1)
                .packFloat(0.5f)
                .packNil()
                .packString("\u20ac")
                .packNil();
        packer.packArrayHeader(2).packLong(1).packString("skipped");
        packer.packBoolean(true);
        MessagePackReader reader = readerOfPacked();
        for (long number : numbers()) {
            assertThat(reader.whole(), is(number));
        }
        assertThat(reader.decimal(), is(7.0));
        assertThat(reader.decimal(), is(0.1));
        assertThat(reader.decimal(), is(0.5));
        assertThat(reader.decimal(), is(0.0));
        assertThat(reader.text(), is("\u20ac"));
        assertThat(reader.text(), is(""));
        reader.skip();
        assertThat(reader.flag(), is(true));
        assertThat(reader.position(), is(packer.toByteArray().length));
    }
}
