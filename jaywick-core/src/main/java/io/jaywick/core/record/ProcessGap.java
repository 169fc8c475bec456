package io.jaywick.core.record;

/**
 * Usage that may be missing from the record of one process.
 *
 * @param dataCentre data centre of the process, empty when none of its lines is known
 * @param incarnation start time of the process in milliseconds since 1970
 * @param lastWrittenMillis time of its last line in milliseconds since 1970, 0 when no line is known
 * @param hasFinalLine true after a graceful shutdown
 * @param missingLines minimum number of missing lines
 * @param missingCalls calls that lines report as ended but whose counters are missing
 * @param callBound maximum number of missing calls
 * @param missingDispatches dispatches that lines report as ended but whose counters are missing
 * @param dispatchBound maximum number of missing dispatches
 * @param bounded false when peers reported a later line whose claims are unknown, so that the bounds do not hold
 */
public record ProcessGap(
        String server,
        String dataCentre,
        long incarnation,
        long lastWrittenMillis,
        boolean hasFinalLine,
        long missingLines,
        long missingCalls,
        long callBound,
        long missingDispatches,
        long dispatchBound,
        boolean bounded) {

    /** Returns the gap of a process that peers reported but of which no line is known. */
    static ProcessGap withoutLines(PeerRecordState state) {
        return new ProcessGap(
                state.server(),
                "",
                state.incarnation(),
                0,
                false,
                Math.max(1, state.sequence()),
                0,
                state.claimedCalls(),
                0,
                state.claimedDispatches(),
                state.claimedCalls() > 0 || state.claimedDispatches() > 0);
    }
}
