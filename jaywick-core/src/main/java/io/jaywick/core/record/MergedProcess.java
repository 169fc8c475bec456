package io.jaywick.core.record;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Merged record lines of one process. The merge takes the maximum of each cumulative counter and the claims of the line
 * with the highest sequence number. It is commutative, associative and idempotent, so that the order of lines and
 * repeated lines do not change the result.
 */
public final class MergedProcess {

    private final RecorderIdentity identity;
    private final Map<UsageKey, UsageCounters> entries = new HashMap<>();
    private final SequenceSet sequences = new SequenceSet();
    private long claimSequence;
    private long claimedCalls;
    private long claimedDispatches;
    private long endedCalls;
    private long endedDispatches;
    private long lastWrittenMillis;
    private boolean hasFinalLine;

    MergedProcess(RecorderIdentity identity) {
        this.identity = identity;
    }

    /** Merges one line and returns the number of usage keys that it added. */
    int merge(RecordLine line) {
        if (!line.sequences().isEmpty()) {
            line.sequences().forEach(range -> sequences.add(range.first(), range.last()));
        } else if (line.kind() != RecordLineKind.QUERY) {
            sequences.add(line.sequence(), line.sequence());
        }
        mergeClaims(line);
        endedCalls = Math.max(endedCalls, line.endedCalls());
        endedDispatches = Math.max(endedDispatches, line.endedDispatches());
        lastWrittenMillis = Math.max(lastWrittenMillis, line.writtenMillis());
        hasFinalLine |= line.kind() == RecordLineKind.FINAL;
        int previousSize = entries.size();
        for (UsageEntry entry : line.entries()) {
            UsageCounters counters = entries.get(entry.key());
            if (counters == null) {
                entries.put(entry.key(), entry.counters().copy());
            } else {
                counters.raiseAllTo(entry.counters());
            }
        }
        return entries.size() - previousSize;
    }

    private void mergeClaims(RecordLine line) {
        if (line.sequence() > claimSequence) {
            claimSequence = line.sequence();
            claimedCalls = line.claimedCalls();
            claimedDispatches = line.claimedDispatches();
        } else if (line.sequence() == claimSequence) {
            claimedCalls = Math.max(claimedCalls, line.claimedCalls());
            claimedDispatches = Math.max(claimedDispatches, line.claimedDispatches());
        }
    }

    public RecorderIdentity identity() {
        return identity;
    }

    public Map<UsageKey, UsageCounters> entries() {
        return entries;
    }

    public long lastWrittenMillis() {
        return lastWrittenMillis;
    }

    /** Returns whether a line of the kind {@code FINAL} was merged, which a graceful shutdown writes. */
    public boolean hasFinalLine() {
        return hasFinalLine;
    }

    /** Returns everything merged so far as one line. */
    RecordLine toLine() {
        List<UsageEntry> list = new ArrayList<>(entries.size());
        entries.forEach((key, counters) -> list.add(new UsageEntry(key, counters)));
        return new RecordLine(
                hasFinalLine ? RecordLineKind.FINAL : RecordLineKind.FOLDED,
                identity,
                Math.max(1, claimSequence),
                lastWrittenMillis,
                claimedCalls,
                claimedDispatches,
                endedCalls,
                endedDispatches,
                null,
                List.of(),
                list,
                sequences.ranges());
    }

    /**
     * Returns the usage that may be missing from the record of this process, or null when the record is complete.
     *
     * @param peerState latest state of this record that peers reported, or null
     */
    public ProcessGap gap(PeerRecordState peerState) {
        long countedCalls = 0;
        long countedDispatches = 0;
        for (UsageCounters counters : entries.values()) {
            countedCalls += counters.endedCalls();
            countedDispatches += counters.get(UsageCounters.DISPATCHES);
        }
        long callBound = claimedCalls;
        long dispatchBound = claimedDispatches;
        long lastSequence = sequences.highest();
        boolean bounded = true;
        if (peerState != null && peerState.sequence() > claimSequence && !hasFinalLine) {
            callBound = Math.max(callBound, peerState.claimedCalls());
            dispatchBound = Math.max(dispatchBound, peerState.claimedDispatches());
            lastSequence = Math.max(lastSequence, peerState.sequence());
            bounded = peerState.claimedCalls() > 0 || peerState.claimedDispatches() > 0;
        }
        long missingLines = sequences.missingUpTo(lastSequence);
        if (bounded && missingLines == 0 && callBound == countedCalls && dispatchBound == countedDispatches) {
            return null;
        }
        return new ProcessGap(
                identity.server(),
                identity.dataCentre(),
                identity.incarnation(),
                lastWrittenMillis,
                hasFinalLine,
                missingLines,
                Math.max(0, endedCalls - countedCalls),
                Math.max(0, callBound - countedCalls),
                Math.max(0, endedDispatches - countedDispatches),
                Math.max(0, dispatchBound - countedDispatches),
                bounded);
    }
}
