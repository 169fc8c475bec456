package io.jaywick.cli.bench.record;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import io.jaywick.core.record.CallUsage;
import io.jaywick.core.record.RecorderIdentity;
import io.jaywick.core.record.RecorderLimits;
import io.jaywick.core.record.UsageRecorder;
import io.jaywick.core.record.UsageSink;

/**
 * Cost of the usage record on one node of a fleet of the design size: 220,000 calls/s over 3,700 nodes, a regular line
 * every 10 s.
 *
 * @param nanosPerCall time to record the start and end of a call, on one thread
 * @param nanosPerCallFourThreads the same while four threads record concurrently
 * @param nanosPerCallPlainLock time to count a call in a {@link NaiveRecorder} under one lock, with four threads
 */
record NodeCost(
        double nanosPerCall,
        double nanosPerCallFourThreads,
        double nanosPerCallPlainLock,
        long linesPerDay,
        long bytesPerDay) {

    private static final int FLEET_NODES = 3_700;
    private static final int FLEET_CALLS_PER_SECOND = 220_000;
    private static final int INTERVAL_SECONDS = 10;
    private static final int SECONDS_PER_DAY = 86_400;
    private static final int DAYS_PER_MONTH = 30;
    private static final int MEASURED_INTERVALS = 720;
    private static final int TIMED_CALLS_PER_THREAD = 2_000_000;
    private static final int THREADS = 4;
    private static final int SAMPLE_CALLS = 4_096;
    private static final FleetShape SINGLE_NODE = new FleetShape(
            2, 5, 1, 40, 5, FLEET_CALLS_PER_SECOND * INTERVAL_SECONDS / FLEET_NODES, INTERVAL_SECONDS * 1_000);

    static NodeCost measure(long seed) {
        List<CallUsage> samples = sampleCalls(seed);
        measureNanosPerCall(1, samples, false);
        measureNanosPerCall(THREADS, samples, false);
        measureNanosPerCall(THREADS, samples, true);
        double singleThreadNanos = measureNanosPerCall(1, samples, false);
        double fourThreadNanos = measureNanosPerCall(THREADS, samples, false);
        double plainLockNanos = measureNanosPerCall(THREADS, samples, true);
        LongAdder lines = new LongAdder();
        LongAdder bytes = new LongAdder();
        FleetOutput output = new FleetOutput(
                new UsageTruth(),
                line -> {
                    lines.increment();
                    bytes.add(line.length() + 1);
                },
                ignored -> {});
        FleetSimulation fleet = new FleetSimulation(SINGLE_NODE, FaultRates.NONE, seed, 0, output);
        for (int i = 0; i < MEASURED_INTERVALS; i++) {
            fleet.runInterval();
        }
        long runsPerDay = SECONDS_PER_DAY / (MEASURED_INTERVALS * INTERVAL_SECONDS);
        return new NodeCost(
                singleThreadNanos, fourThreadNanos, plainLockNanos, lines.sum() * runsPerDay, bytes.sum() * runsPerDay);
    }

    Map<String, Object> figures() {
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("nanosPerCall", Math.round(nanosPerCall));
        figures.put("nanosPerCallFourThreads", Math.round(nanosPerCallFourThreads));
        figures.put("nanosPerCallFourThreadsPlainLock", Math.round(nanosPerCallPlainLock));
        figures.put("linesPerNodeAndDay", linesPerDay);
        figures.put("bytesPerNodeAndDay", bytesPerDay);
        return figures;
    }

    /** Extrapolates to 30 days of the whole fleet, folded by one thread at the measured speeds. */
    Map<String, Object> monthFigures(long foldBytesPerSecond, long foldLinesPerSecond) {
        Map<String, Object> month = new LinkedHashMap<>();
        month.put("lines", linesPerDay * FLEET_NODES * DAYS_PER_MONTH);
        month.put("bytes", bytesPerDay * FLEET_NODES * DAYS_PER_MONTH);
        // Seconds divided by 360 are tenths of an hour; the result is hours rounded to one decimal.
        month.put(
                "foldHoursByBytes",
                Math.round(bytesPerDay * (double) FLEET_NODES * DAYS_PER_MONTH / foldBytesPerSecond / 360) / 10.0);
        month.put(
                "foldHoursByLines",
                Math.round(linesPerDay * (double) FLEET_NODES * DAYS_PER_MONTH / foldLinesPerSecond / 360) / 10.0);
        return month;
    }

    private static List<CallUsage> sampleCalls(long seed) {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        RandomCalls calls = new RandomCalls(SINGLE_NODE, 0, random);
        List<CallUsage> samples = new ArrayList<>();
        for (int i = 0; i < SAMPLE_CALLS; i++) {
            samples.add(calls.nextCall());
        }
        return samples;
    }

    /**
     * Returns the mean time that a thread takes to record one call, in nanoseconds, including claim lines that the
     * thread must write before a call may start.
     *
     * @param threads number of threads that record concurrently, each the same number of calls
     * @param plainLock whether to measure a {@link NaiveRecorder} under one lock in place of the {@link UsageRecorder}
     */
    private static double measureNanosPerCall(int threads, List<CallUsage> samples, boolean plainLock) {
        UsageSink sink = line -> {};
        RecorderIdentity identity = new RecorderIdentity("s", "d", "region-0", 0, 1);
        UsageRecorder recorder = new UsageRecorder(
                identity,
                java.time.InstantSource.system(),
                sink,
                RecorderLimits.forMaxClaim(TIMED_CALLS_PER_THREAD),
                () -> {},
                List::of);
        NaiveRecorder naive = new NaiveRecorder(identity, sink);
        Thread[] workers = new Thread[threads];
        long startNanos = System.nanoTime();
        for (int i = 0; i < threads; i++) {
            workers[i] = new Thread(() -> {
                for (int call = 0; call < TIMED_CALLS_PER_THREAD; call++) {
                    CallUsage usage = samples.get(call & (SAMPLE_CALLS - 1));
                    if (plainLock) {
                        synchronized (naive) {
                            naive.callEnded(usage);
                        }
                    } else {
                        recorder.callStarted();
                        recorder.callEnded(usage);
                    }
                }
            });
            workers[i].start();
        }
        try {
            for (Thread worker : workers) {
                worker.join();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return (System.nanoTime() - startNanos) / (double) TIMED_CALLS_PER_THREAD;
    }
}
