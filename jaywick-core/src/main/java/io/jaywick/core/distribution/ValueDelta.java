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
 * A value as the difference to an earlier one, so that a small edit of a large configuration costs few bytes on every
 * link. The difference is a deflate stream of the checksum and the length of the value, followed by instructions: copy a
 * range of the earlier value, or insert bytes.
 */
public final class ValueDelta {

    /** Largest value in bytes; a value of the source is far smaller. */
    public static final int MAX_VALUE_BYTES = 8 << 20;

    /** Ranges are found by blocks of this length; shorter common ranges cost about as much as inserted bytes. */
    private static final int BLOCK = 16;

    private static final int HALF = BLOCK / 2;
    private static final int HEADER = 8;
    private static final int COPY = 1;
    private static final int INSERT = 0;
    private static final int CHUNK = 8_192;
    private static final long MULTIPLIER = 0x9e3779b97f4a7c15L;
    private static final VarHandle LONGS = MethodHandles.byteArrayViewVarHandle(long[].class, ByteOrder.LITTLE_ENDIAN);

    private ValueDelta() {}

    /** Returns the difference that leads from one value to another. */
    public static byte[] encode(byte[] base, byte[] target) {
        ByteArrayOutputStream plain = new ByteArrayOutputStream(CHUNK);
        plain.writeBytes(ByteBuffer.allocate(HEADER)
                .putInt(checksum(target))
                .putInt(target.length)
                .array());
        int common = common(base, 0, target, 0);
        copy(plain, 0, common);
        int[] blocks = common == target.length ? null : index(base);
        int from = common;
        int at = common;
        while (at < target.length) {
            int match = find(blocks, base, target, at);
            if (match < 0) {
                at++;
                continue;
            }
            int length = common(base, match, target, at);
            insert(plain, target, from, at);
            copy(plain, match, length);
            at += length;
            from = at;
        }
        insert(plain, target, from, target.length);
        return deflate(plain.toByteArray());
    }

    /**
     * Applies a difference.
     *
     * @throws IllegalArgumentException when it does not lead from this value to the one that was encoded
     */
    public static byte[] apply(byte[] base, byte[] delta) {
        ByteBuffer plain = ByteBuffer.wrap(inflate(delta));
        if (plain.remaining() < HEADER) {
            throw new IllegalArgumentException("the difference is cut");
        }
        int checksum = plain.getInt();
        int length = plain.getInt();
        if (length < 0 || length > MAX_VALUE_BYTES) {
            throw new IllegalArgumentException("the difference names a value of " + length + " bytes");
        }
        ByteBuffer target = ByteBuffer.allocate(length);
        try {
            while (plain.hasRemaining()) {
                if (plain.get() == COPY) {
                    int offset = plain.getInt();
                    target.put(base, offset, plain.getInt());
                } else {
                    int count = plain.getInt();
                    target.put(plain.array(), plain.position(), count);
                    plain.position(plain.position() + count);
                }
            }
        } catch (RuntimeException e) {
            throw new IllegalArgumentException("the difference does not fit the value", e);
        }
        if (target.hasRemaining() || checksum(target.array()) != checksum) {
            throw new IllegalArgumentException("the difference leads to another value");
        }
        return target.array();
    }

    private static int checksum(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes);
        return (int) crc.getValue();
    }

    private static int common(byte[] base, int baseAt, byte[] target, int targetAt) {
        int mismatch = Arrays.mismatch(base, baseAt, base.length, target, targetAt, target.length);
        return mismatch < 0 ? base.length - baseAt : mismatch;
    }

    /** Positions of the blocks of a value plus one, by their hash; 0 where there is none. */
    private static int[] index(byte[] base) {
        int[] blocks = new int[Integer.highestOneBit(Math.max(BLOCK, base.length / HALF)) << 1];
        for (int at = base.length - base.length % BLOCK - BLOCK; at >= 0; at -= BLOCK) {
            blocks[slot(base, at, blocks.length)] = at + 1;
        }
        return blocks;
    }

    private static int slot(byte[] bytes, int at, int slots) {
        long mixed = ((long) LONGS.get(bytes, at) * MULTIPLIER ^ (long) LONGS.get(bytes, at + HALF)) * MULTIPLIER;
        return (int) (mixed >>> 32) & slots - 1;
    }

    private static int find(int[] blocks, byte[] base, byte[] target, int at) {
        if (at + BLOCK > target.length) {
            return -1;
        }
        int match = blocks[slot(target, at, blocks.length)] - 1;
        boolean equal = match >= 0
                && (long) LONGS.get(base, match) == (long) LONGS.get(target, at)
                && (long) LONGS.get(base, match + HALF) == (long) LONGS.get(target, at + HALF);
        return equal ? match : -1;
    }

    private static void copy(ByteArrayOutputStream plain, int offset, int length) {
        if (length > 0) {
            plain.writeBytes(ByteBuffer.allocate(1 + HEADER)
                    .put((byte) COPY)
                    .putInt(offset)
                    .putInt(length)
                    .array());
        }
    }

    private static void insert(ByteArrayOutputStream plain, byte[] target, int from, int to) {
        if (to > from) {
            plain.writeBytes(ByteBuffer.allocate(1 + Integer.BYTES)
                    .put((byte) INSERT)
                    .putInt(to - from)
                    .array());
            plain.write(target, from, to - from);
        }
    }

    private static byte[] deflate(byte[] plain) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(plain);
            deflater.finish();
            ByteArrayOutputStream packed = new ByteArrayOutputStream(CHUNK);
            byte[] chunk = new byte[CHUNK];
            while (!deflater.finished()) {
                packed.write(chunk, 0, deflater.deflate(chunk));
            }
            return packed.toByteArray();
        } finally {
            deflater.end();
        }
    }

    private static byte[] inflate(byte[] packed) {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(packed);
            ByteArrayOutputStream plain = new ByteArrayOutputStream(CHUNK);
            byte[] chunk = new byte[CHUNK];
            while (!inflater.finished()) {
                int count = inflater.inflate(chunk);
                if (count == 0 && (inflater.needsInput() || inflater.needsDictionary())) {
                    throw new IllegalArgumentException("the difference is cut");
                }
                plain.write(chunk, 0, count);
                if (plain.size() > 2 * MAX_VALUE_BYTES) {
                    throw new IllegalArgumentException("the difference is longer than any value");
                }
            }
            return plain.toByteArray();
        } catch (DataFormatException e) {
            throw new IllegalArgumentException("the difference is not a deflate stream", e);
        } finally {
            inflater.end();
        }
    }
}
