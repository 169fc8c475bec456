package io.jaywick.core.record;

/**
 * What the record of one process may hide.
 *
 * @param dataCentre empty when the process has no line
 * @param incarnation start of the process, milliseconds since 1970
 * @param lastWrittenMillis time of its last line, 0 when it has no line
 * @param hasFinalLine true after a graceful end
 * @param missingLines lines known to be missing, at least
 * @param missingCalls calls that lines state as ended but whose counters are missing
 * @param callBound calls that may be missing at most
 * @param missingDispatches dispatches that lines state as ended but whose counters are missing
 * @param dispatchBound dispatches that may be missing at most
 * @param bounded false when peers show lines beyond every known claim, so that the bounds do not hold
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
