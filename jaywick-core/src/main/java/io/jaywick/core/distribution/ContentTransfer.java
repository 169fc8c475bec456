package io.jaywick.core.distribution;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

import io.jaywick.core.message.ContentPart;
import io.jaywick.core.table.TableContent;
import io.jaywick.core.table.TableFormatException;
import io.jaywick.core.table.TableRows;

/** Full transfer of one version: the canonical content, compressed with deflate and split into parts. */
public final class ContentTransfer {

    /** Maximum size of the compressed data in one part, in bytes. */
    public static final int PART_BYTES = 64 << 10;

    /** Maximum size of inflated content in bytes; a packed value is at most 1 MB, and canonical rows are not longer. */
    public static final int MAX_CONTENT_BYTES = 4 << 20;

    private final long revision;
    private final String hash;
    private final byte[] compressed;

    public ContentTransfer(long revision, TableContent content) {
        this.revision = revision;
        this.hash = content.hash().hex();
        this.compressed = deflate(content.canonicalBytes());
    }

    public long revision() {
        return revision;
    }

    /** Returns the part with the given index, or the first part when the index is out of range. */
    public ContentPart part(int number) {
        int parts = Math.max(1, (compressed.length + PART_BYTES - 1) / PART_BYTES);
        int part = number < 0 || number >= parts ? 0 : number;
        int from = part * PART_BYTES;
        byte[] data = Arrays.copyOfRange(compressed, from, Math.min(compressed.length, from + PART_BYTES));
        return new ContentPart(revision, hash, part, parts, data);
    }

    /**
     * Inflates and parses content. Returns null when the bytes are malformed or inflate to more than
     * {@link #MAX_CONTENT_BYTES}.
     */
    static TableContent decode(byte[] compressed) {
        byte[] bytes = inflate(compressed);
        if (bytes == null) {
            return null;
        }
        try {
            return TableRows.parseCanonicalBytes(bytes);
        } catch (TableFormatException e) {
            return null;
        }
    }

    private static byte[] deflate(byte[] bytes) {
        Deflater deflater = new Deflater();
        try {
            deflater.setInput(bytes);
            deflater.finish();
            ByteArrayOutputStream out = new ByteArrayOutputStream(bytes.length / 4 + 64);
            byte[] buffer = new byte[8_192];
            while (!deflater.finished()) {
                out.write(buffer, 0, deflater.deflate(buffer));
            }
            return out.toByteArray();
        } finally {
            deflater.end();
        }
    }

    private static byte[] inflate(byte[] compressed) {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(compressed);
            ByteArrayOutputStream out = new ByteArrayOutputStream(compressed.length * 4 + 64);
            byte[] buffer = new byte[8_192];
            while (!inflater.finished()) {
                int count = inflater.inflate(buffer);
                if (count == 0 && (inflater.needsInput() || inflater.needsDictionary())) {
                    return null;
                }
                if (out.size() + count > MAX_CONTENT_BYTES) {
                    return null;
                }
                out.write(buffer, 0, count);
            }
            return out.toByteArray();
        } catch (DataFormatException e) {
            return null;
        } finally {
            inflater.end();
        }
    }
}
