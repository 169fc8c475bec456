package io.jaywick.cli.bench;

import java.util.Map;

/**
 * Results of one strategy. Bytes count frames and source values, without TCP and IP headers.
 *
 * @param controlBytesPerNodePerEdit bytes that nodes and source sent during the edits, including digests
 * @param addedBytesPerNodePerEdit the same minus the bytes that would have been sent in that time without edits
 * @param crossRegionBytesPerEdit bytes sent between regions during the edits, including digests
 * @param addedCrossRegionBytesPerEdit the same minus the bytes that would have been sent in that time without edits
 * @param sourceCallsInRestart source calls from the restart of a data centre until the edit published with it has
 *     converged or timed out
 * @param quietCpuPercentPerNode processor time of the whole process without edits, as a percentage of one core,
 *     divided by the nodes
 * @param heapBytesPerNode growth of the used heap, measured after garbage collections, divided by the nodes
 */
record DistributionResult(
        long convergenceP50Millis,
        long convergenceP99Millis,
        long convergenceMaxMillis,
        long restartMaxMillis,
        long controlBytesPerNodePerEdit,
        long addedBytesPerNodePerEdit,
        long crossRegionBytesPerEdit,
        long addedCrossRegionBytesPerEdit,
        Map<String, Long> bytesPerEditByLink,
        double sourceCallsPerEdit,
        long sourceCallsInRestart,
        double quietSourceCallsPerSecond,
        long quietBytesOutPerNodePerSecond,
        long quietBytesInPerNodePerSecond,
        double quietCpuPercentPerNode,
        double cpuMillisPerNodePerEdit,
        long heapBytesPerNode,
        long connectionsPerNode,
        int valueBytes,
        boolean allConverged) {}
