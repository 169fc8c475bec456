package io.jaywick.node.source;

/**
 * One instance as the platform lists it.
 *
 * @param state {@code live} or {@code leaving}
 */
public record InstanceEntry(
        String server,
        String dataCentre,
        String region,
        String service,
        String peerAddress,
        String ingressAddress,
        String state) {}
