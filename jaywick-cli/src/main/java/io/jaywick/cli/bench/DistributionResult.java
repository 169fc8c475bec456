package io.jaywick.cli.bench;

import java.util.Map;

/**
 * Figures of one strategy. Bytes are those of frames and source values, without TCP and IP headers.
 *
 * @param controlBytesPerNodePerEdit bytes sent by nodes and source during the edits, digests included
 * @param addedBytesPerNodePerEdit the same without what the quiet state would have sent in that time
 * @param crossRegionBytesPerEdit bytes between regions during the edits, digests included
 * @param addedCrossRegionBytesPerEdit the same without what the quiet state would have sent in that time
 * @param sourceCallsInRestart source calls from the restart of a data centre to the end of the edit during it
 * @param quietCpuPercentPerNode processor time of the whole process as percentage of one core per node
 * @param heapBytesPerNode used heap after a collection, divided by the nodes
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
