package io.jaywick.node.peer;

import java.util.List;

import io.jaywick.core.message.SuspectEntry;

/** Provides and receives the suspect entries carried by digests. Called on the thread of the distribution service. */
public interface SuspectExchange {

    /** Provides no entries and ignores those of peers. */
    SuspectExchange NONE = new SuspectExchange() {
        @Override
        public List<SuspectEntry> entriesFor(String region) {
            return List.of();
        }

        @Override
        public void merge(List<SuspectEntry> entries) {
            // Entries of peers are ignored.
        }
    };

    /** Returns the entries that may be sent to a node of the region, which is empty if it is not known. */
    List<SuspectEntry> entriesFor(String region);

    /** Merges entries received from a peer. */
    void merge(List<SuspectEntry> entries);
}
