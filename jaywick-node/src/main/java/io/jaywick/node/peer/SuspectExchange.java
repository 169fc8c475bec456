package io.jaywick.node.peer;

import java.util.List;

import io.jaywick.core.message.SuspectEntry;

/** Suspect requests that travel in digests. Called on the thread of the distribution service. */
public interface SuspectExchange {

    /** Exchanges nothing. */
    SuspectExchange NONE = new SuspectExchange() {
        @Override
        public List<SuspectEntry> entriesFor(String region) {
            return List.of();
        }

        @Override
        public void merge(List<SuspectEntry> entries) {
            // Nothing takes suspects.
        }
    };

    /** Entries that may be sent to a node of the region. */
    List<SuspectEntry> entriesFor(String region);

    /** Takes entries that a peer sent. */
    void merge(List<SuspectEntry> entries);
}
