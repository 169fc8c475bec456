package io.jaywick.core.record;

import java.util.List;

/**
 * One line of the usage record. See docs/record-format.md.
 *
 * @param sequence number of the line within the process, from 1
 * @param writtenMillis wall clock at writing, in milliseconds since 1970
 * @param claimedCalls cumulative number of calls that may have started before the next line
 * @param claimedDispatches cumulative number of dispatches to the local target that may have started before the next
 *     line
 * @param endedCalls cumulative number of ended calls that were counted when the line was written
 * @param endedDispatches cumulative number of ended dispatches that were counted when the line was written
 * @param shares agreed shares, or null when the line holds none
 * @param seen states of the records of other processes
 * @param entries cumulative counters by usage key
 * @param sequences sequence numbers of the lines that were merged into this one, empty in lines that a node wrote
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
