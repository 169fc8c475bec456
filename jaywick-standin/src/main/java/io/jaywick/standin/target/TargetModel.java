package io.jaywick.standin.target;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Simulates the load and the faults of a target without sockets, for tests in virtual time and for
 * {@link TargetServer}. It records every run of a request, so that tests can check what was executed. Thread-safe.
 */
public final class TargetModel {

    /** What happens to an arriving call. */
    public enum Arrival {
        RUN,
        SHED,
        /** The target crashes, which ends all its calls. */
        CRASH
    }

    /** One run of a request, with its start on the model's monotonic clock. */
    public record Run(String request, long startNanos) {}

    private final TargetBehaviour behaviour;
    private final LongSupplier nanoTime;
    private final List<Run> runs = new ArrayList<>();
    private final Map<String, Integer> runCounts = new HashMap<>();
    private int capacity;
    private int running;
    private int maxRunning;
    private int shedCount;
    private int crashCount;
    private double maxColdOverload;
    private String crashOn;
    private boolean draining;
    private boolean sheddingAll;

    public TargetModel(TargetBehaviour behaviour, LongSupplier nanoTime) {
        this.behaviour = behaviour;
        this.nanoTime = nanoTime;
        this.capacity = behaviour.coldStartCalls();
    }

    /**
     * Records the arrival of a request and decides what happens to it. Each call that runs must be followed by
     * {@link #recordEnd}.
     */
    public synchronized Arrival recordArrival(String request) {
        if (sheddingAll || running >= behaviour.slots()) {
            shedCount++;
            return Arrival.SHED;
        }
        running++;
        maxRunning = Math.max(maxRunning, running);
        runs.add(new Run(request, nanoTime.getAsLong()));
        runCounts.merge(request, 1, Integer::sum);
        boolean isOverloaded = false;
        if (isCold()) {
            double overload = (double) running / capacity;
            maxColdOverload = Math.max(maxColdOverload, overload);
            isOverloaded = behaviour.crashOverloadFactor() > 0 && overload > behaviour.crashOverloadFactor();
        }
        if (isOverloaded || request.equals(crashOn)) {
            crash();
            return Arrival.CRASH;
        }
        return Arrival.RUN;
    }

    /**
     * Records the end of a call that ran. Only an answered call warms the target, by one slot.
     *
     * @param crashesAtArrival value of {@link #crashCount} when the call arrived; the end is ignored when the
     *     target has crashed since, because the crash has ended the call already
     */
    public synchronized void recordEnd(int crashesAtArrival, boolean answered) {
        if (crashesAtArrival != crashCount) {
            return;
        }
        running--;
        if (answered) {
            capacity = Math.min(behaviour.slots(), capacity + 1);
        }
    }

    /** Simulates the death of the process, which ends its calls. The next process starts cold. */
    public synchronized void crash() {
        crashCount++;
        running = 0;
        capacity = behaviour.coldStartCalls();
    }

    /** Makes the target cold without a restart, as after the loss of a cache. */
    public synchronized void resetToCold() {
        capacity = behaviour.coldStartCalls();
    }

    /** Makes every run of the request crash the target. */
    public synchronized void crashOn(String request) {
        crashOn = request;
    }

    public synchronized void setDraining(boolean isDraining) {
        draining = isDraining;
    }

    /** Sets whether every call is shed, regardless of the load. */
    public synchronized void setSheddingAll(boolean isSheddingAll) {
        sheddingAll = isSheddingAll;
    }

    /** Returns the time that a call starting now takes, in milliseconds. */
    public synchronized long serviceMillis() {
        return isCold() ? behaviour.serviceMillis() * behaviour.coldFactor() : behaviour.serviceMillis();
    }

    public synchronized boolean isCold() {
        return capacity < behaviour.slots();
    }

    public synchronized boolean isDraining() {
        return draining;
    }

    /** Returns the number of calls that the target can currently run at once. */
    public synchronized int capacity() {
        return capacity;
    }

    public synchronized int running() {
        return running;
    }

    public synchronized int maxRunning() {
        return maxRunning;
    }

    public synchronized int shedCount() {
        return shedCount;
    }

    public synchronized int crashCount() {
        return crashCount;
    }

    /** Returns the highest ratio of concurrent calls to capacity while the target was cold. */
    public synchronized double maxColdOverload() {
        return maxColdOverload;
    }

    /** Returns how many times a request has started to run. */
    public synchronized int runCount(String request) {
        return runCounts.getOrDefault(request, 0);
    }

    /** Returns all runs in the order of their start. */
    public synchronized List<Run> runs() {
        return List.copyOf(runs);
    }

    TargetBehaviour behaviour() {
        return behaviour;
    }
}
