package io.jaywick.core.record;

/**
 * What another process said of its own record. It shows that lines of that process should exist, and how far its
 * claims reach when its last lines are lost.
 *
 * @param incarnation start time of the process in milliseconds
 * @param sequence number of its last line, 0 when only the process itself is known
 * @param claimedCalls claim of that line, 0 when not known
 * @param claimedDispatches claim of that line, 0 when not known
 */
public record PeerRecordState(
        String server, long incarnation, long sequence, long claimedCalls, long claimedDispatches) {}
