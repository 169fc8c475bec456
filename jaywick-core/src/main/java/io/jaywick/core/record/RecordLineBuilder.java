package io.jaywick.core.record;

import java.util.List;

/** Fields of a line while it is read. */
final class RecordLineBuilder {

    long format;
    RecordLineKind kind;
    String server = "";
    String dataCentre = "";
    String region = "";
    long incarnation;
    long process;
    long sequence;
    long writtenMillis;
    long claimedCalls;
    long claimedDispatches;
    long endedCalls;
    long endedDispatches;
    AgreedShares shares;
    List<PeerRecordState> seen = List.of();
    List<UsageEntry> entries = List.of();
    List<SequenceRange> sequences = List.of();

    RecordLine build() {
        if (format != RecordLineWriter.FORMAT) {
            throw new RecordLineException("format " + format + " is not supported");
        }
        if (kind == null) {
            throw new RecordLineException("unknown kind");
        }
        if (server.isEmpty() || sequence == 0 && kind != RecordLineKind.QUERY) {
            throw new RecordLineException("no server or no sequence");
        }
        if (endedCalls > claimedCalls || endedDispatches > claimedDispatches) {
            if (kind != RecordLineKind.QUERY) {
                throw new RecordLineException("more ended than claimed");
            }
        }
        return new RecordLine(
                kind,
                new RecorderIdentity(server, dataCentre, region, incarnation, process),
                sequence,
                writtenMillis,
                claimedCalls,
                claimedDispatches,
                endedCalls,
                endedDispatches,
                shares,
                seen,
                entries,
                sequences);
    }
}
