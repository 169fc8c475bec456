package io.jaywick.cli.bench;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;

import com.sun.management.OperatingSystemMXBean;
import io.jaywick.node.peer.SpreadStrategy;
import org.HdrHistogram.Histogram;
import reactor.core.publisher.Mono;

/** Measures one strategy: a quiet time, then edits, and the restart of one data centre in the middle of them. */
final class DistributionBench {

    private static final long START_TIMEOUT_MILLIS = 60_000;
    private static final long EDIT_TIMEOUT_MILLIS = 20_000;
    private static final long SETTLE_MILLIS = 5_000;
    private static final long EDIT_INTERVAL_MILLIS = 1_000;
    private static final OperatingSystemMXBean PROCESS =
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
            pause(SETTLE_MILLIS);
            Mark quietStart = new Mark(fleet);
            pause(quietMillis);
            Mark quietEnd = new Mark(fleet);
            Histogram millis = new Histogram(3);
            Histogram restart = new Histogram(3);
            long callsInRestart = 0;
            for (int i = 0; i < edits; i++) {
                boolean restarts = i == edits / 2;
                long calls = fleet.source.calls.sum();
                long start = System.nanoTime();
                converged &= fleet.edit(i + 2L, restarts, restarts ? restart : millis, EDIT_TIMEOUT_MILLIS);
                callsInRestart += restarts ? fleet.source.calls.sum() - calls : 0;
                pause(EDIT_INTERVAL_MILLIS - (System.nanoTime() - start) / 1_000_000);
            }
            Mark end = new Mark(fleet);
            long connections = fleet.openConnections() / nodes;
            System.gc();
            long heap = (usedHeap() - heapBefore) / nodes;
            millis.add(restart);
            double quietSeconds = quietEnd.secondsSince(quietStart);
            double editSeconds = end.secondsSince(quietEnd);
            double quietOut = (quietEnd.sent - quietStart.sent) / quietSeconds;
            double quietRegional = (quietEnd.regional - quietStart.regional) / quietSeconds;
            double quietCpu = (quietEnd.cpuNanos - quietStart.cpuNanos) / quietSeconds;
            Map<String, Long> links = new TreeMap<>();
            end.links.forEach(
                    (link, bytes) -> links.put(link, (bytes - quietEnd.links.getOrDefault(link, 0L)) / edits));
            long sent = end.sent - quietEnd.sent;
            long regional = end.regional - quietEnd.regional;
            return new DistributionResult(
                    millis.getValueAtPercentile(50),
                    millis.getValueAtPercentile(99),
                    millis.getMaxValue(),
                    restart.getMaxValue(),
                    sent / nodes / edits,
                    Math.round((sent - quietOut * editSeconds) / nodes / edits),
                    regional / edits,
                    Math.round((regional - quietRegional * editSeconds) / edits),
                    links,
                    (double) (end.calls - quietEnd.calls) / edits,
                    callsInRestart,
                    (quietEnd.calls - quietStart.calls) / quietSeconds,
                    Math.round(quietOut / nodes),
                    Math.round((quietEnd.received - quietStart.received) / quietSeconds / nodes),
                    quietCpu / 1e9 * 100 / nodes,
                    (end.cpuNanos - quietEnd.cpuNanos - quietCpu * editSeconds) / 1e6 / nodes / edits,
                    heap,
                    connections,
                    fleet.valueBytes(),
                    converged);
        }
    }

    private static void pause(long millis) {
        if (millis > 0) {
            Mono.delay(Duration.ofMillis(millis)).block();
        }
    }

    private static long usedHeap() {
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    /** Counters at one moment. */
    private static final class Mark {
        private final long nanos = System.nanoTime();
        private final long cpuNanos = PROCESS.getProcessCpuTime();
        private final long sent;
        private final long received;
        private final long regional;
        private final long calls;
        private final Map<String, Long> links;

        Mark(BenchFleet fleet) {
            sent = fleet.sentBytes();
            received = fleet.receivedBytes();
            regional = fleet.regional.total();
            calls = fleet.source.calls.sum();
            links = fleet.regional.bytesByLink();
        }

        double secondsSince(Mark earlier) {
            return (nanos - earlier.nanos) / 1e9;
        }
    }
}
