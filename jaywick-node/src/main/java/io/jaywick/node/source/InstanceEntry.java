package io.jaywick.node.source;

/**
 * One instance as the platform lists it.
 *
 * @param peerAddress HOST:PORT for frames
 * @param ingressAddress HOST:PORT for calls
 */
public record InstanceEntry(
        String server,
        String dataCentre,
        String region,
        String service,
        String peerAddress,
        String ingressAddress,
        InstanceState state) {}
