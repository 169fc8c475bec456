package io.jaywick.core.distribution;

import java.io.ByteArrayOutputStream;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.Arrays;
import java.util.zip.CRC32C;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * Encodes a value as the delta to an earlier one, so that a small edit of a large configuration takes few bytes on
 * every link. A delta is a deflate stream of the checksum and the length of the value, followed by instructions: copy a
 * range of the earlier value, or insert bytes.
 */
public final class ValueDelta {

    /** Maximum size of a value in bytes; a value of the source is far smaller. */
    public static final int MAX_VALUE_BYTES = 8 << 20;

    /** Length of the blocks that are matched; a shorter common range takes about as many bytes as inserting it. */
    private static final int BLOCK_BYTES = 16;

    private static final int HALF_BLOCK_BYTES = BLOCK_BYTES / 2;
    private static final int HEADER_BYTES = 8;
    private static final int COPY = 1;
    private static final int INSERT = 0;
    private static final int BUFFER_BYTES = 8_192;
    private static final long HASH_MULTIPLIER = 0x9e3779b97f4a7c15L;
    private static final VarHandle LONG_VIEW =
            MethodHandles.byteArrayViewVarHandle(long[].class, ByteOrder.LITTLE_ENDIAN);

    private ValueDelta() {}

    /** Returns the delta that turns the base value into the target value. */
    public static byte[] encode(byte[] base, byte[] target) {
        ByteArrayOutputStream instructions = new ByteArrayOutputStream(BUFFER_BYTES);
        instructions.writeBytes(ByteBuffer.allocate(HEADER_BYTES)
                .putInt(checksum(target))
                .putInt(target.length)
                .array());
        int prefixLength = commonPrefixLength(base, 0, target, 0);
        writeCopy(instructions, 0, prefixLength);
        int[] blocks = prefixLength == target.length ? null : indexBlocks(base);
        int insertStart = prefixLength;
        int position = prefixLength;
        while (position < target.length) {
            int match = findMatch(blocks, base, target, position);
            if (match < 0) {
                position++;
                continue;
            }
            int length = commonPrefixLength(base, match, target, position);
            writeInsert(instructions, target, insertStart, position);
            writeCopy(instructions, match, length);
            position += length;
            insertStart = position;
        }
        writeInsert(instructions, target, insertStart, target.length);
        return deflate(instructions.toByteArray());
    }

    /**
     * Applies a delta to the base value and returns the target value.
     *
     * @throws IllegalArgumentException when the delta is malformed or was encoded for another base value
     */
    public static byte[] apply(byte[] base, byte[] delta) {
        ByteBuffer instructions = ByteBuffer.wrap(inflate(delta));
        if (instructions.remaining() < HEADER_BYTES) {
            throw new IllegalArgumentException("delta is truncated: its header is incomplete");
        }
        int checksum = instructions.getInt();
        int length = instructions.getInt();
        if (length < 0 || length > MAX_VALUE_BYTES) {
            throw new IllegalArgumentException(
                    "delta declares a value of " + length + " bytes; the maximum is " + MAX_VALUE_BYTES);
        }
        ByteBuffer target = ByteBuffer.allocate(length);
        try {
            while (instructions.hasRemaining()) {
                if (instructions.get() == COPY) {
                    int offset = instructions.getInt();
                    target.put(base, offset, instructions.getInt());
                } else {
                    int count = instructions.getInt();
                    target.put(instructions.array(), instructions.position(), count);
                    instructions.position(instructions.position() + count);
                }
            }
        } catch (RuntimeException e) {
            throw new IllegalArgumentException("delta has an instruction that is out of range", e);
        }
        if (target.hasRemaining() || checksum(target.array()) != checksum) {
            throw new IllegalArgumentException("delta gives a value that differs from its length or checksum");
        }
        return target.array();
    }

    private static int checksum(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes);
        return (int) crc.getValue();
    }

    private static int commonPrefixLength(byte[] base, int basePosition, byte[] target, int targetPosition) {
        int mismatch = Arrays.mismatch(base, basePosition, base.length, target, targetPosition, target.length);
        return mismatch < 0 ? base.length - basePosition : mismatch;
    }

    /** Returns a hash table of the positions of the blocks, each plus one; 0 marks an empty slot. */
    private static int[] indexBlocks(byte[] base) {
        int[] blocks = new int[Integer.highestOneBit(Math.max(BLOCK_BYTES, base.length / HALF_BLOCK_BYTES)) << 1];
        for (int position = base.length - base.length % BLOCK_BYTES - BLOCK_BYTES;
                position >= 0;
                position -= BLOCK_BYTES) {
            blocks[hashSlot(base, position, blocks.length)] = position + 1;
        }
        return blocks;
    }

    private static int hashSlot(byte[] bytes, int position, int slots) {
        long mixed = ((long) LONG_VIEW.get(bytes, position) * HASH_MULTIPLIER
                        ^ (long) LONG_VIEW.get(bytes, position + HALF_BLOCK_BYTES))
                * HASH_MULTIPLIER;
        return (int) (mixed >>> 32) & slots - 1;
    }

    private static int findMatch(int[] blocks, byte[] base, byte[] target, int position) {
        if (position + BLOCK_BYTES > target.length) {
            return -1;
        }
        int match = blocks[hashSlot(target, position, blocks.length)] - 1;
        boolean equal = match >= 0
                && (long) LONG_VIEW.get(base, match) == (long) LONG_VIEW.get(target, position)
                && (long) LONG_VIEW.get(base, match + HALF_BLOCK_BYTES)
                        == (long) LONG_VIEW.get(target, position + HALF_BLOCK_BYTES);
        return equal ? match : -1;
    }

    private static void writeCopy(ByteArrayOutputStream instructions, int offset, int length) {
        if (length > 0) {
            instructions.writeBytes(ByteBuffer.allocate(1 + HEADER_BYTES)
                    .put((byte) COPY)
                    .putInt(offset)
                    .putInt(length)
                    .array());
        }
    }

    private static void writeInsert(ByteArrayOutputStream instructions, byte[] target, int from, int to) {
        if (to > from) {
            instructions.writeBytes(ByteBuffer.allocate(1 + Integer.BYTES)
                    .put((byte) INSERT)
                    .putInt(to - from)
                    .array());
            instructions.write(target, from, to - from);
        }
    }

    private static byte[] deflate(byte[] bytes) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(bytes);
            deflater.finish();
            ByteArrayOutputStream compressed = new ByteArrayOutputStream(BUFFER_BYTES);
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!deflater.finished()) {
                compressed.write(buffer, 0, deflater.deflate(buffer));
            }
            return compressed.toByteArray();
        } finally {
            deflater.end();
        }
    }

    private static byte[] inflate(byte[] compressed) {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(compressed);
            ByteArrayOutputStream bytes = new ByteArrayOutputStream(BUFFER_BYTES);
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!inflater.finished()) {
                int count = inflater.inflate(buffer);
                if (count == 0 && (inflater.needsInput() || inflater.needsDictionary())) {
                    throw new IllegalArgumentException("delta is truncated: its deflate stream ends early");
                }
                bytes.write(buffer, 0, count);
                if (bytes.size() > 2 * MAX_VALUE_BYTES) {
                    throw new IllegalArgumentException("delta inflates to more than " + 2 * MAX_VALUE_BYTES + " bytes");
                }
            }
            return bytes.toByteArray();
        } catch (DataFormatException e) {
            throw new IllegalArgumentException("delta is not a valid deflate stream", e);
        } finally {
            inflater.end();
        }
    }
}
