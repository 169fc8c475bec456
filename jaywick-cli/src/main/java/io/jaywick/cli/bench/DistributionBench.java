package io.jaywick.cli.bench;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;

import com.sun.management.OperatingSystemMXBean;
import io.jaywick.node.peer.SpreadStrategy;
import org.HdrHistogram.Histogram;
import reactor.core.publisher.Mono;

/** Measures one strategy: a quiet period without edits, then edits, half-way with the restart of one data centre. */
final class DistributionBench {

    private static final long START_TIMEOUT_MILLIS = 60_000;
    private static final long EDIT_TIMEOUT_MILLIS = 20_000;
    private static final long SETTLE_MILLIS = 5_000;
    private static final long EDIT_INTERVAL_MILLIS = 1_000;
    private static final OperatingSystemMXBean PROCESS_METRICS =
            (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();

    private final int nodes;
    private final int edits;
    private final long seed;
    private final long quietMillis;

    DistributionBench(int nodes, int edits, long seed, long quietMillis) {
        this.nodes = nodes;
        this.edits = edits;
        this.seed = seed;
        this.quietMillis = quietMillis;
    }

    DistributionResult run(SpreadStrategy strategy) throws InterruptedException {
        System.gc();
        long heapBefore = usedHeap();
        try (BenchFleet fleet = new BenchFleet(strategy, seed, nodes)) {
            boolean converged = fleet.start(START_TIMEOUT_MILLIS);
            sleep(SETTLE_MILLIS);
            Counters quietStart = new Counters(fleet);
            sleep(quietMillis);
            Counters quietEnd = new Counters(fleet);
            Histogram editMillis = new Histogram(3);
            Histogram restartMillis = new Histogram(3);
            long callsInRestart = 0;
            for (int i = 0; i < edits; i++) {
                boolean isRestart = i == edits / 2;
                long callsBefore = fleet.source.callCount.sum();
                long start = System.nanoTime();
                converged &= fleet.publishEdit(
                        i + 2L, isRestart, isRestart ? restartMillis : editMillis, EDIT_TIMEOUT_MILLIS);
                callsInRestart += isRestart ? fleet.source.callCount.sum() - callsBefore : 0;
                sleep(EDIT_INTERVAL_MILLIS - (System.nanoTime() - start) / 1_000_000);
            }
            Counters end = new Counters(fleet);
            long connectionsPerNode = fleet.openConnections() / nodes;
            System.gc();
            long heapPerNode = (usedHeap() - heapBefore) / nodes;
            editMillis.add(restartMillis);
            double quietSeconds = quietEnd.secondsSince(quietStart);
            double editSeconds = end.secondsSince(quietEnd);
            double quietSentPerSecond = (quietEnd.sentBytes - quietStart.sentBytes) / quietSeconds;
            double quietRegionalPerSecond = (quietEnd.regionalBytes - quietStart.regionalBytes) / quietSeconds;
            double quietCpuNanosPerSecond = (quietEnd.cpuNanos - quietStart.cpuNanos) / quietSeconds;
            Map<String, Long> bytesPerEditByLink = new TreeMap<>();
            end.bytesByLink.forEach((link, bytes) ->
                    bytesPerEditByLink.put(link, (bytes - quietEnd.bytesByLink.getOrDefault(link, 0L)) / edits));
            long sentBytes = end.sentBytes - quietEnd.sentBytes;
            long regionalBytes = end.regionalBytes - quietEnd.regionalBytes;
            return new DistributionResult(
                    editMillis.getValueAtPercentile(50),
                    editMillis.getValueAtPercentile(99),
                    editMillis.getMaxValue(),
                    restartMillis.getMaxValue(),
                    sentBytes / nodes / edits,
                    Math.round((sentBytes - quietSentPerSecond * editSeconds) / nodes / edits),
                    regionalBytes / edits,
                    Math.round((regionalBytes - quietRegionalPerSecond * editSeconds) / edits),
                    bytesPerEditByLink,
                    (double) (end.sourceCalls - quietEnd.sourceCalls) / edits,
                    callsInRestart,
                    (quietEnd.sourceCalls - quietStart.sourceCalls) / quietSeconds,
                    Math.round(quietSentPerSecond / nodes),
                    Math.round((quietEnd.receivedBytes - quietStart.receivedBytes) / quietSeconds / nodes),
                    quietCpuNanosPerSecond / 1e9 * 100 / nodes,
                    (end.cpuNanos - quietEnd.cpuNanos - quietCpuNanosPerSecond * editSeconds) / 1e6 / nodes / edits,
                    heapPerNode,
                    connectionsPerNode,
                    fleet.valueBytes(),
                    converged);
        }
    }

    private static void sleep(long millis) {
        if (millis > 0) {
            Mono.delay(Duration.ofMillis(millis)).block();
        }
    }

    private static long usedHeap() {
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    /** Values of the counters at one moment. */
    private static final class Counters {
        private final long nanos = System.nanoTime();
        private final long cpuNanos = PROCESS_METRICS.getProcessCpuTime();
        private final long sentBytes;
        private final long receivedBytes;
        private final long regionalBytes;
        private final long sourceCalls;
        private final Map<String, Long> bytesByLink;

        Counters(BenchFleet fleet) {
            sentBytes = fleet.sentBytes();
            receivedBytes = fleet.receivedBytes();
            regionalBytes = fleet.regionalTraffic.totalBytes();
            sourceCalls = fleet.source.callCount.sum();
            bytesByLink = fleet.regionalTraffic.bytesByLink();
        }

        double secondsSince(Counters earlier) {
            return (nanos - earlier.nanos) / 1e9;
        }
    }
}
