package io.jaywick.core.distribution;

import java.io.ByteArrayOutputStream;

import io.jaywick.core.message.ContentPart;
import io.jaywick.core.table.TableContent;

/**
 * Reassembles the parts of one full transfer, which must arrive in order. An interrupted transfer resumes at the next
 * part, also from another peer, as long as the version is the same; a part of another version restarts the transfer.
 */
public final class ContentAssembly {

    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private long revision;
    private String hash = "";
    private int partCount;
    private int nextPart;

    /** Returns the revision that is being received, or 0 when no transfer is in progress. */
    public long revision() {
        return revision;
    }

    /** Returns the index of the next part to request, from 0. */
    public int nextPart() {
        return nextPart;
    }

    /**
     * Appends a part. Returns false and appends nothing when the part is malformed or is not the next one. A part of
     * another version first discards the parts received so far.
     */
    public boolean add(ContentPart part) {
        if (part.parts() < 1
                || part.parts() > ContentTransfer.MAX_CONTENT_BYTES / ContentTransfer.PART_BYTES
                || part.data().length > ContentTransfer.PART_BYTES) {
            return false;
        }
        if (part.revision() != revision || !part.hash().equals(hash) || part.parts() != partCount) {
            reset();
            revision = part.revision();
            hash = part.hash();
            partCount = part.parts();
        }
        if (part.part() != nextPart) {
            return false;
        }
        bytes.writeBytes(part.data());
        nextPart++;
        return true;
    }

    /** Returns whether all parts have been received. */
    public boolean isComplete() {
        return partCount > 0 && nextPart == partCount;
    }

    /** Returns the received content, or null when it cannot be decoded or its hash differs from that of the parts. */
    public TableContent content() {
        TableContent content = ContentTransfer.decode(bytes.toByteArray());
        return content != null && content.hash().hex().equals(hash) ? content : null;
    }

    /** Discards the received parts. */
    public void reset() {
        bytes.reset();
        revision = 0;
        hash = "";
        partCount = 0;
        nextPart = 0;
    }
}
