package io.jaywick.core.membership;

/**
 * One node's view of the instance of a server.
 *
 * @param peerAddress HOST:PORT of the listener for frames
 * @param ingressAddress HOST:PORT of the listener for calls
 * @param incarnation start time of the process in milliseconds; a larger value is a newer process
 */
public record Member(
        String server,
        String dataCentre,
        String region,
        String service,
        String peerAddress,
        String ingressAddress,
        long incarnation,
        MemberState state) {}
