package io.jaywick.node.peer;

import java.util.concurrent.atomic.LongAdder;

/** Counts the bytes that one node exchanged with its peers, without TCP and IP headers, and the rejected frames. */
public final class PeerTraffic {

    private final LongAdder sentBytes = new LongAdder();
    private final LongAdder receivedBytes = new LongAdder();
    private final LongAdder rejectedFrames = new LongAdder();

    void recordSent(long bytes) {
        sentBytes.add(bytes);
    }

    void recordReceived(long bytes) {
        receivedBytes.add(bytes);
    }

    void recordRejected() {
        rejectedFrames.increment();
    }

    public long sentBytes() {
        return sentBytes.sum();
    }

    public long receivedBytes() {
        return receivedBytes.sum();
    }

    /** Returns the number of received frames that could not be decoded. */
    public long rejectedFrames() {
        return rejectedFrames.sum();
    }
}
