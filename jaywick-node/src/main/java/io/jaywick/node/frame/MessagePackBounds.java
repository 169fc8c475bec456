package io.jaywick.node.frame;

/**
 * Checks that one MessagePack value fills a byte range exactly and is not nested too deeply. The MessagePack library
 * allocates the length that a header declares, so that a header of a few bytes could otherwise cause an allocation of
 * gigabytes.
 */
final class MessagePackBounds {

    private static final int MAX_DEPTH = 16;

    private final byte[] bytes;
    private final int end;
    private int position;

    private MessagePackBounds(byte[] bytes, int start, int end) {
        this.bytes = bytes;
        this.position = start;
        this.end = end;
    }

    static boolean isValid(byte[] bytes, int start, int end) {
        MessagePackBounds bounds = new MessagePackBounds(bytes, start, end);
        return bounds.checkValue(0) && bounds.position == end;
    }

    /**
     * Returns the position after one value of a range that {@link #isValid} has accepted.
     *
     * @throws IllegalArgumentException if no complete value starts at the position
     */
    static int endOfValue(byte[] bytes, int position, int end) {
        MessagePackBounds bounds = new MessagePackBounds(bytes, position, end);
        if (!bounds.checkValue(0)) {
            throw new IllegalArgumentException("no complete value at byte " + position);
        }
        return bounds.position;
    }

    private boolean checkValue(int depth) {
        if (depth > MAX_DEPTH || position >= end) {
            return false;
        }
        int header = bytes[position++] & 0xff;
        if (header < 0x80 || header >= 0xe0) {
            return true;
        }
        if (header < 0x90) {
            return checkValues(2L * (header & 0x0f), depth);
        }
        if (header < 0xa0) {
            return checkValues(header & 0x0f, depth);
        }
        if (header < 0xc0) {
            return skipBytes(header & 0x1f);
        }
        return switch (header) {
            case 0xc0, 0xc2, 0xc3 -> true;
            case 0xc4, 0xd9 -> skipBytes(readLength(1));
            case 0xc5, 0xda -> skipBytes(readLength(2));
            case 0xc6, 0xdb -> skipBytes(readLength(4));
            case 0xcc, 0xd0 -> skipBytes(1);
            case 0xcd, 0xd1 -> skipBytes(2);
            case 0xca, 0xce, 0xd2 -> skipBytes(4);
            case 0xcb, 0xcf, 0xd3 -> skipBytes(8);
            case 0xdc -> checkValues(readLength(2), depth);
            case 0xdd -> checkValues(readLength(4), depth);
            case 0xde -> checkValues(2 * readLength(2), depth);
            case 0xdf -> checkValues(2 * readLength(4), depth);
                // Extension types and the unused code 0xc1 occur in no message.
            default -> false;
        };
    }

    private boolean checkValues(long count, int depth) {
        // Every value occupies at least one byte, which bounds the loop by the frame length.
        if (count < 0 || count > end - position) {
            return false;
        }
        for (long i = 0; i < count; i++) {
            if (!checkValue(depth + 1)) {
                return false;
            }
        }
        return true;
    }

    private boolean skipBytes(long count) {
        if (count < 0 || count > end - position) {
            return false;
        }
        position += (int) count;
        return true;
    }

    private long readLength(int size) {
        if (end - position < size) {
            return Long.MIN_VALUE / 4;
        }
        long result = 0;
        for (int i = 0; i < size; i++) {
            result = result << 8 | bytes[position++] & 0xff;
        }
        return result;
    }
}
