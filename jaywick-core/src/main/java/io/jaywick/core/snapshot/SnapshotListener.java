package io.jaywick.core.snapshot;

/** Receives each snapshot that a node activates, in order of increasing revisions. */
@FunctionalInterface
public interface SnapshotListener {

    void onSnapshot(Snapshot snapshot);
}
