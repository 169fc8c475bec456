package io.jaywick.node.relay;

import java.util.List;
import java.util.Map;

import io.jaywick.core.gate.ColdStartLimit;

/**
 * What one node is told when it starts.
 *
 * @param name of the node in logs
 * @param host IP address of the node and the target beside it
 * @param service that runs beside the node
 * @param targetAddress HOST:PORT of the target beside the node
 * @param outboundAddress HOST:PORT at which callers beside the node send their calls
 * @param peerAddress HOST:PORT at which the node takes calls from other nodes; the port is the same on every node
 * @param seedHosts hosts of a few nodes, which may be stale; asked while no other node is known
 * @param readyAddress HOST:PORT at which the platform asks whether the node takes new work
 * @param readyPath path of that question
 * @param metricsAddress HOST:PORT of the metrics, or null
 * @param retryRatio calls that may be sent again for each first call, over the whole fleet
 * @param retryAllowance further repeats in each window, over the whole fleet
 * @param retryWindowMillis length of these windows
 * @param graceMillis time between the request to stop and the forced end
 * @param maxPropagationMillis shortest time in which a change that the source published must be in force on every node
 * @param coldStartLimit what a cold target may get beyond the rate that it bears
 */
public record RelaySettings(
        String name,
        String host,
        String dataCentre,
        String region,
        Map<String, String> regionByDataCentre,
        String service,
        String targetAddress,
        String outboundAddress,
        String peerAddress,
        List<String> seedHosts,
        String readyAddress,
        String readyPath,
        String metricsAddress,
        double retryRatio,
        double retryAllowance,
        long retryWindowMillis,
        long graceMillis,
        long maxPropagationMillis,
        ColdStartLimit coldStartLimit) {

    /** Port at which every node takes calls from other nodes. */
    int peerPort() {
        return Integer.parseInt(peerAddress.substring(peerAddress.lastIndexOf(':') + 1));
    }
}
