package io.jaywick.core.distribution;

import java.io.ByteArrayOutputStream;

import io.jaywick.core.message.ContentPart;
import io.jaywick.core.table.TableContent;

/**
 * Collects the parts of one full transfer in order. A transfer that is cut resumes at the next part, also at another
 * peer, as long as the version is the same; a part of another version starts the transfer anew.
 */
public final class ContentAssembly {

    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private long revision;
    private String hash = "";
    private int partCount;
    private int nextPart;

    /** Revision that is being received, 0 for none. */
    public long revision() {
        return revision;
    }

    /** Number of the part to ask for. */
    public int nextPart() {
        return nextPart;
    }

    /** Takes a part; returns true when it was the one asked for. */
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

    /** True when all parts are there. */
    public boolean isComplete() {
        return partCount > 0 && nextPart == partCount;
    }

    /** Returns the received content, or null when it is unreadable or its hash is not the stated one. */
    public TableContent content() {
        TableContent content = ContentTransfer.decode(bytes.toByteArray());
        return content != null && content.hash().hex().equals(hash) ? content : null;
    }

    /** Drops what was received. */
    public void reset() {
        bytes.reset();
        revision = 0;
        hash = "";
        partCount = 0;
        nextPart = 0;
    }
}
