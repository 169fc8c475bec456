package io.jaywick.core.record;

import java.util.List;

/**
 * One line of the usage record. See docs/record-format.md.
 *
 * @param sequence number of the line within the process, from 1
 * @param writtenMillis wall clock at writing, in milliseconds since 1970
 * @param claimedCalls calls that may have started before the next line, cumulative
 * @param claimedDispatches the same for dispatches to the local target
 * @param endedCalls calls counted by this and all earlier lines
 * @param endedDispatches dispatches counted by this and all earlier lines
 * @param shares agreed shares, or null
 * @param sequences merged sequence numbers, empty except in lines of the kind {@code FOLDED}
 */
public record RecordLine(
        RecordLineKind kind,
        RecorderIdentity identity,
        long sequence,
        long writtenMillis,
        long claimedCalls,
        long claimedDispatches,
        long endedCalls,
        long endedDispatches,
        AgreedShares shares,
        List<PeerRecordState> seen,
        List<UsageEntry> entries,
        List<SequenceRange> sequences) {}
