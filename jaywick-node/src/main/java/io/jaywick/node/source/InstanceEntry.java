package io.jaywick.node.source;

/**
 * One instance as the platform lists it.
 *
<<<<<<< HEAD
 * @param peerAddress HOST:PORT for frames
 * @param ingressAddress HOST:PORT for calls
=======
 * @param state {@code live} or {@code leaving}
>>>>>>> distribution
 */
public record InstanceEntry(
        String server,
        String dataCentre,
        String region,
        String service,
        String peerAddress,
        String ingressAddress,
<<<<<<< HEAD
        InstanceState state) {}
=======
        String state) {}
>>>>>>> distribution
