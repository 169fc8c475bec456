package io.jaywick.core.record;

/**
 * State of the usage record of another process as that process reported it. It shows that lines of the process should
 * exist, and up to which claims calls may have started when its last lines are lost.
 *
 * @param incarnation start time of the process in milliseconds
 * @param sequence number of its last line, 0 when only the existence of the process is known
 * @param claimedCalls claim of calls in that line, 0 when unknown
 * @param claimedDispatches claim of dispatches in that line, 0 when unknown
 */
public record PeerRecordState(
        String server, long incarnation, long sequence, long claimedCalls, long claimedDispatches) {}
