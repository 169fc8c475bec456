package io.jaywick.core.snapshot;

/** Is told of each snapshot that a node takes into force, in order of growing revisions. */
@FunctionalInterface
public interface SnapshotListener {

    void onSnapshot(Snapshot snapshot);
}
