package io.jaywick.core.distribution;

import java.util.List;

import io.jaywick.core.message.DeltaReply;
import io.jaywick.core.snapshot.Snapshot;
import io.jaywick.core.snapshot.SnapshotListener;
import io.jaywick.core.table.TableContent;

/**
 * Decides which version of the table is active on this node. Candidates from the configuration service and from peers
 * are treated alike: one is adopted only when its revision is higher than the active one and the check accepts it. See
 * docs/design.md, section 4. Used by one thread; {@link #active} may be called by any thread.
 */
public final class VersionTracker {

    private final VersionCheck check;
    private final SnapshotListener listener;
    private final DeltaRing recentDeltas = new DeltaRing();
    private volatile Snapshot active;
    private ContentTransfer transfer;
    private RejectedVersion lastRejected;
    private SourceStatus sourceStatus = new SourceStatus(0, false);
    private long conflictCount;
    private String lastConflict = "";

    public VersionTracker(VersionCheck check, SnapshotListener listener) {
        this.check = check;
        this.listener = listener;
    }

    /** Returns the active snapshot, or null before the first version. */
    public Snapshot active() {
        return active;
    }

    /** Returns the revision of the active version, or 0 before the first version. */
    public long revision() {
        Snapshot snapshot = active;
        return snapshot == null ? 0 : snapshot.revision();
    }

    /** Returns the hash of the active version, or the empty string before the first version. */
    public String hash() {
        Snapshot snapshot = active;
        return snapshot == null ? "" : snapshot.hash();
    }

    /** Returns the version that was rejected last, or null when none was. */
    public RejectedVersion lastRejected() {
        return lastRejected;
    }

    /** Returns the status of the last value from the configuration service; revision 0 before the first value. */
    public SourceStatus sourceStatus() {
        return sourceStatus;
    }

    /**
     * Returns how often other content was seen under the revision of the active version. Consecutive observations of
     * the same content count once.
     */
    public long conflictCount() {
        return conflictCount;
    }

    /**
     * Returns whether a version should be fetched: its revision is higher than the active one, and it is not the
     * version that was rejected last. Counts a conflict when it has the active revision and another hash.
     */
    public boolean shouldFetch(long revision, String hash) {
        if (revision == revision() && active != null && !hash.equals(hash())) {
            countConflict(hash);
        }
        return revision > revision() && !isRejected(revision, hash);
    }

    /** Offers a packed value from the configuration service and records the status of the service. */
    public Outcome offerPacked(long revision, byte[] packed) {
        sourceStatus = new SourceStatus(revision, revision < revision());
        if (revision < revision()) {
            return Outcome.NOT_NEWER;
        }
        CheckedVersion checked = check.checkPacked(revision, packed);
        return decide(revision, checked);
    }

    /** Offers content that a peer sent in full and whose hash was verified. */
    public Outcome offerContent(long revision, TableContent content) {
        String hash = content.hash().hex();
        if (revision <= revision() || isRejected(revision, hash)) {
            return decide(revision, CheckedVersion.rejected(hash, List.of()));
        }
        return decide(revision, check.checkContent(revision, content));
    }

    /** Offers a delta that a peer sent. */
    public Outcome offerDelta(DeltaReply delta) {
        if (!shouldFetch(delta.revision(), delta.hash())) {
            return Outcome.NOT_NEWER;
        }
        Snapshot base = active;
        if (base == null
                || delta.baseRevision() != base.revision()
                || !delta.baseHash().equals(base.hash())) {
            return Outcome.UNUSABLE;
        }
        TableContent content = TableDelta.apply(base.content(), delta);
        return content == null ? Outcome.UNUSABLE : offerContent(delta.revision(), content);
    }

    /** Returns the delta from the given version to the active one, or null when the full content is needed. */
    public DeltaReply deltaFrom(long revision, String hash) {
        return recentDeltas.deltaFrom(revision, hash);
    }

    /** Returns the active content in parts, compressed on first use. There must be an active version. */
    public ContentTransfer transfer() {
        if (transfer == null || transfer.revision() != revision()) {
            transfer = new ContentTransfer(revision(), active.content());
        }
        return transfer;
    }

    private Outcome decide(long revision, CheckedVersion checked) {
        if (revision <= revision()) {
            if (revision == revision() && !checked.hash().equals(hash())) {
                countConflict(checked.hash());
                return Outcome.CONFLICT;
            }
            return Outcome.NOT_NEWER;
        }
        if (checked.snapshot() == null) {
            if (!isRejected(revision, checked.hash())) {
                lastRejected = new RejectedVersion(revision, checked.hash(), List.copyOf(checked.problems()));
            }
            return Outcome.REJECTED;
        }
        activate(checked.snapshot());
        return Outcome.ADOPTED;
    }

    private void activate(Snapshot next) {
        Snapshot previous = active;
        if (previous != null) {
            recentDeltas.add(new DeltaReply(
                    previous.revision(),
                    previous.hash(),
                    next.revision(),
                    next.hash(),
                    TableDelta.between(previous.content(), next.content())));
        }
        active = next;
        transfer = null;
        if (sourceStatus.regressed() && sourceStatus.revision() >= next.revision()) {
            sourceStatus = new SourceStatus(sourceStatus.revision(), false);
        }
        listener.onSnapshot(next);
    }

    private void countConflict(String hash) {
        String conflict = revision() + " " + hash;
        if (!conflict.equals(lastConflict)) {
            lastConflict = conflict;
            conflictCount++;
        }
    }

    private boolean isRejected(long revision, String hash) {
        return lastRejected != null
                && lastRejected.revision() == revision
                && lastRejected.hash().equals(hash);
    }

    /** Result of offering a candidate. */
    public enum Outcome {
        /** The candidate is active now. */
        ADOPTED,
        /** The revision of the candidate is not higher than the active one. */
        NOT_NEWER,
        /** The candidate has the revision of the active version but other content. */
        CONFLICT,
        /** The check found problems, now or when the same version was offered before. */
        REJECTED,
        /** The delta is not based on the active version, or its result does not have the hash in the delta. */
        UNUSABLE
    }

    /** A version that the check rejected. */
    public record RejectedVersion(long revision, String hash, List<String> problems) {}

    /**
     * Status of the last value from the configuration service.
     *
     * @param regressed true when its revision was below the active one
     */
    public record SourceStatus(long revision, boolean regressed) {}
}
