package io.jaywick.core.membership;

/**
 * What a node believes of one server's instance.
 *
 * @param peerAddress HOST:PORT for frames
 * @param ingressAddress HOST:PORT for calls
 * @param incarnation start time of the process in milliseconds; a larger one is newer
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
