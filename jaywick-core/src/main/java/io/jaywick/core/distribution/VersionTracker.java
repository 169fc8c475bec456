package io.jaywick.core.distribution;

import java.util.List;

import io.jaywick.core.message.DeltaReply;
import io.jaywick.core.snapshot.Snapshot;
import io.jaywick.core.snapshot.SnapshotListener;
import io.jaywick.core.table.TableContent;

/**
 * Decides which version of the table is active on this node. Candidates from the configuration service and from peers
 * are treated alike: one is adopted only when its revision is higher than the active one and its check accepts it.
 * See docs/design.md, section 4. Used by one thread; {@link #active} may be read by any.
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

    /** The active snapshot, or null before the first version. */
    public Snapshot active() {
        return active;
    }

    /** Revision of the active version, or 0. */
    public long revision() {
        Snapshot snapshot = active;
        return snapshot == null ? 0 : snapshot.revision();
    }

    /** Hash of the active version, or the empty string. */
    public String hash() {
        Snapshot snapshot = active;
        return snapshot == null ? "" : snapshot.hash();
    }

    /** The version rejected last, or null. */
    public RejectedVersion lastRejected() {
        return lastRejected;
    }

    /** What the configuration service returned last. */
    public SourceStatus sourceStatus() {
        return sourceStatus;
    }

    /** Number of other contents that were seen under the revision that was active. */
    public long conflictCount() {
        return conflictCount;
    }

    /** True when a version with this revision and hash is worth fetching. */
    public boolean shouldFetch(long revision, String hash) {
        if (revision == revision() && active != null && !hash.equals(hash())) {
            countConflict(hash);
        }
        return revision > revision() && !isRejected(revision, hash);
    }

    /** Takes a value of the configuration service. */
    public Outcome offerPacked(long revision, byte[] packed) {
        sourceStatus = new SourceStatus(revision, revision < revision());
        if (revision < revision()) {
            return Outcome.NOT_NEWER;
        }
        CheckedVersion checked = check.checkPacked(revision, packed);
        return decide(revision, checked);
    }

    /** Takes a content that a peer sent in full and whose hash was verified. */
    public Outcome offerContent(long revision, TableContent content) {
        String hash = content.hash().hex();
        if (revision <= revision() || isRejected(revision, hash)) {
            return decide(revision, CheckedVersion.rejected(hash, List.of()));
        }
        return decide(revision, check.checkContent(revision, content));
    }

    /** Takes a delta that a peer sent. */
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

    /** Returns the delta from the given version to the active one, or null when only the full content helps. */
    public DeltaReply deltaFrom(long revision, String hash) {
        return recentDeltas.deltaFrom(revision, hash);
    }

    /** The active content in parts; it is compressed at the first request. */
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

    /** What became of a candidate. */
    public enum Outcome {
        /** It is active now. */
        ADOPTED,
        /** Its revision is not higher than the active one. */
        NOT_NEWER,
        /** It has the revision of the active version and another content. */
        CONFLICT,
        /** Its check found problems. */
        REJECTED,
        /** The delta does not fit the active version or does not give the stated hash. */
        UNUSABLE
    }

    /** A version that the check refused. */
    public record RejectedVersion(long revision, String hash, List<String> problems) {}

    /**
     * Newest answer of the configuration service.
     *
     * @param regressed true when the service went back to a revision below the active one
     */
    public record SourceStatus(long revision, boolean regressed) {}
}
