package io.jaywick.node.relay;

import java.util.Map;

/**
 * What one node is told when it starts.
 *
 * @param name of the node in logs
 * @param host IP address of the node and the target beside it
 * @param service that runs beside the node
 * @param targetAddress HOST:PORT of the target beside the node
 * @param outboundAddress HOST:PORT at which callers beside the node send their calls
 * @param peerAddress HOST:PORT at which the node takes calls from other nodes; the port is the same on every node
 * @param readyAddress HOST:PORT at which the platform asks whether the node takes new work
 * @param readyPath path of that question
 * @param metricsAddress HOST:PORT of the metrics, or null
 * @param retryRatio calls that may be sent again for each first call, over the whole fleet
 * @param retryAllowance further repeats in each window, over the whole fleet
 * @param graceMillis time between the request to stop and the forced end
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
        String readyAddress,
        String readyPath,
        String metricsAddress,
        double retryRatio,
        double retryAllowance,
        long graceMillis) {}
