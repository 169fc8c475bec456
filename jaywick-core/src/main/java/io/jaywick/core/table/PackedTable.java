package io.jaywick.core.table;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Packed form in which a table is published: a MessagePack map of sheet name to CSV text.
 *
 * <p>The streaming unpacker is used instead of data binding because it returns each length before it allocates. A
 * header that declares more bytes than the value has is rejected without allocating them.
 */
public final class PackedTable {

    /** Maximum length of a sheet name in a value; the defined names are shorter. */
    private static final int MAX_NAME_BYTES = 256;

    /** By default, the library accepts binary data where text is expected. */
    private static final MessagePack.UnpackerConfig UNPACKER_CONFIG =
            new MessagePack.UnpackerConfig().withAllowReadingBinaryAsString(false);

    private PackedTable() {}

    /** Packs the bytes of each sheet under its name, in the order of the map. */
    public static byte[] pack(Map<String, byte[]> sheets) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packMapHeader(sheets.size());
            for (Map.Entry<String, byte[]> sheet : sheets.entrySet()) {
                packer.packString(sheet.getKey());
                packer.packRawStringHeader(sheet.getValue().length);
                packer.writePayload(sheet.getValue());
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("a packer to memory does not fail", e);
        }
    }

    /**
     * Unpacks a value and adds every defect to the problems.
     *
     * @return the bytes of each sheet by name, including unknown names; null when the value is malformed or too large
     */
    public static Map<String, byte[]> unpack(byte[] packed, ProblemList problems) {
        if (packed.length > TableLimits.MAX_VALUE_BYTES) {
            problems.add(
                    ProblemType.VALUE_TOO_LARGE,
                    null,
                    0,
                    "",
                    "the value has " + packed.length + " bytes, allowed are " + TableLimits.MAX_VALUE_BYTES);
            return null;
        }
        try (MessageUnpacker unpacker = UNPACKER_CONFIG.newUnpacker(packed)) {
            Map<String, byte[]> sheets = new LinkedHashMap<>();
            int size = unpacker.unpackMapHeader();
            for (int i = 0; i < size; i++) {
                String name = new String(readText(unpacker, MAX_NAME_BYTES), StandardCharsets.UTF_8);
                byte[] bytes = readText(unpacker, (int) (packed.length - unpacker.getTotalReadBytes()));
                if (sheets.putIfAbsent(name, bytes) != null) {
                    problems.add(
                            ProblemType.DUPLICATE_SHEET,
                            null,
                            0,
                            "",
                            "the value holds sheet " + TableProblem.quoted(name) + " twice");
                }
            }
            if (unpacker.hasNext()) {
                throw new IOException("bytes follow the map");
            }
            return sheets;
        } catch (IOException | MessagePackException e) {
            problems.add(
                    ProblemType.MALFORMED_VALUE,
                    null,
                    0,
                    "",
                    "the value is not a MessagePack map of text to text: " + e.getMessage());
            return null;
        }
    }

    private static byte[] readText(MessageUnpacker unpacker, int limitBytes) throws IOException {
        int length = unpacker.unpackRawStringHeader();
        if (length > limitBytes) {
            throw new IOException("a text of " + length + " bytes is longer than allowed");
        }
        return unpacker.readPayload(length);
    }
}
