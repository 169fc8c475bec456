package io.jaywick.node.relay;

import java.util.List;
import java.util.Map;

import io.jaywick.core.gate.ColdStartLimit;
import io.jaywick.core.limits.QuotaBounds;

/**
 * Settings of one node.
 *
 * @param name name of the node in logs
 * @param host IP address of the node and of the local target
 * @param service service of the local target
 * @param targetAddress HOST:PORT of the local target
 * @param outboundAddress HOST:PORT to which local callers send their calls
 * @param peerAddress HOST:PORT at which the node accepts calls from other nodes; the port is the same on every node
 * @param seedHosts hosts of a few nodes, possibly stale, which can be queried while no other node is known
 * @param readyAddress HOST:PORT of the readiness probe of the platform
 * @param readyPath path of the readiness probe
 * @param metricsAddress HOST:PORT of the metrics, or null for none
 * @param retryRatio retries allowed for each first call, over the whole fleet
 * @param retryAllowance further retries allowed in each window, over the whole fleet
 * @param retryWindowMillis length of the window of the retry budget
 * @param graceMillis time between the request to stop and the forced end of the process
 * @param maxPropagationMillis shortest time within which a change published by the source must be active on every node
 * @param coldStartLimit calls that a cold target may get in excess of the rate that it sustains
 * @param maxKeyAgeMillis time since the last answer of the source after which keys of client accounts count as
 *     unverified; {@link Long#MAX_VALUE} if the node goes on with the rules that it holds
 * @param quotaBounds bound on the calls of a client account over all nodes, relative to its limit
 * @param learnCapacity whether the service times and the concurrency limit of the local target are learned and reported,
 *     and instances are ranked by what their nodes report of it
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
        ColdStartLimit coldStartLimit,
        long maxKeyAgeMillis,
        QuotaBounds quotaBounds,
        boolean learnCapacity) {

    /** Port at which every node accepts calls from other nodes. */
    int peerPort() {
        return Integer.parseInt(peerAddress.substring(peerAddress.lastIndexOf(':') + 1));
    }
}
