package io.jaywick.node.source;

/**
 * One instance in the list of the platform.
 *
 * @param peerAddress address HOST:PORT for the links between nodes
 * @param ingressAddress address HOST:PORT for calls
 */
public record InstanceEntry(
        String server,
        String dataCentre,
        String region,
        String service,
        String peerAddress,
        String ingressAddress,
        InstanceState state) {}
