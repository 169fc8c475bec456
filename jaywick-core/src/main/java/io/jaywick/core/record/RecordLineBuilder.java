package io.jaywick.core.record;

import java.util.List;

/** Collects the fields of a record line during parsing. */
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

    /**
     * Returns the line.
     *
     * @throws RecordLineException when a required field is missing or fields contradict each other
     */
    RecordLine build() {
        if (format != RecordLineWriter.FORMAT) {
            throw new RecordLineException("format " + format + " is not supported");
        }
        if (kind == null) {
            throw new RecordLineException("kind of line is unknown");
        }
        if (server.isEmpty() || sequence == 0 && kind != RecordLineKind.QUERY) {
            throw new RecordLineException("server or sequence number is missing");
        }
        if (endedCalls > claimedCalls || endedDispatches > claimedDispatches) {
            if (kind != RecordLineKind.QUERY) {
                throw new RecordLineException("more calls or dispatches have ended than were claimed");
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
