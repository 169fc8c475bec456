package io.jaywick.core.table;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * SHA-256 hash of the canonical content of a table.
 *
 * @param hex 64 lower-case hexadecimal digits
 */
public record ContentHash(String hex) {

    private static final int PREFIX_DIGITS = 12;

    /** Returns the hash of the given bytes. */
    public static ContentHash of(byte[] canonicalBytes) {
        try {
            return new ContentHash(HexFormat.of()
                    .formatHex(MessageDigest.getInstance("SHA-256").digest(canonicalBytes)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java runtime has SHA-256", e);
        }
    }

    /** First 12 digits, for messages and metrics. */
    public String prefix() {
        return hex.substring(0, Math.min(PREFIX_DIGITS, hex.length()));
    }
}
