package io.jaywick.core.retry;

import java.util.UUID;

/** Builds keys in the UUIDv7 format of RFC 9562 and reads their creation time. */
public final class UuidV7 {

    private static final int LENGTH = 36;
    private static final int VERSION = 7;
    private static final int RFC_VARIANT = 2;
    private static final int TIME_SHIFT = 16;

    private UuidV7() {}

    /** Returns the creation time in milliseconds since 1970, or -1 if the text is not a UUIDv7. */
    public static long creationMillis(String text) {
        if (text.length() != LENGTH) {
            return -1;
        }
        try {
            UUID uuid = UUID.fromString(text);
            return uuid.version() == VERSION && uuid.variant() == RFC_VARIANT
                    ? uuid.getMostSignificantBits() >>> TIME_SHIFT
                    : -1;
        } catch (IllegalArgumentException e) {
            return -1;
        }
    }

    /** Builds a key from a creation time and random bits. */
    public static String of(long creationMillis, long randomHigh, long randomLow) {
        long high = creationMillis << TIME_SHIFT | (long) VERSION << 12 | randomHigh & 0xfff;
        long low = (long) RFC_VARIANT << 62 | randomLow & 0x3fff_ffff_ffff_ffffL;
        return new UUID(high, low).toString();
    }
}
