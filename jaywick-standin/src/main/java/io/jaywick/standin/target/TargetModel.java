package io.jaywick.standin.target;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Behaviour and truth of a stand-in target without sockets, for tests in virtual time and for {@link TargetServer}.
 * Thread-safe.
 */
public final class TargetModel {

    /** What becomes of an arriving call. */
    public enum Arrival {
        RUN,
        SHED,
        /** The target falls over and takes all its calls with it. */
        CRASH
    }

    /** One run of a request. */
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

    /** A request arrives; a call that runs must be followed by {@link #recordEnd}. */
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
     * A call that ran has ended; only an answered one warms the target.
     *
     * @param crashesAtArrival value of {@link #crashCount} when the call arrived; a crash has ended the earlier calls
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

    /** The process dies; its calls end with it and the next process starts cold. */
    public synchronized void crash() {
        crashCount++;
        running = 0;
        capacity = behaviour.coldStartCalls();
    }

    /** Turns cold without a restart, as after the loss of a cache. */
    public synchronized void resetToCold() {
        capacity = behaviour.coldStartCalls();
    }

    /** Every run of this request crashes the target. */
    public synchronized void crashOn(String request) {
        crashOn = request;
    }

    public synchronized void setDraining(boolean drains) {
        draining = drains;
    }

    /** Sheds every call, whatever the load. */
    public synchronized void setSheddingAll(boolean sheds) {
        sheddingAll = sheds;
    }

    /** Time that a call takes at this moment. */
    public synchronized long serviceMillis() {
        return isCold() ? behaviour.serviceMillis() * behaviour.coldFactor() : behaviour.serviceMillis();
    }

    public synchronized boolean isCold() {
        return capacity < behaviour.slots();
    }

    public synchronized boolean isDraining() {
        return draining;
    }

    /** Calls that it can run at once at this moment. */
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

    /** Largest ratio of the calls run at once to the capacity while cold. */
    public synchronized double maxColdOverload() {
        return maxColdOverload;
    }

    /** Times that a request began to run. */
    public synchronized int runCount(String request) {
        return runCounts.getOrDefault(request, 0);
    }

    /** Every run in order. */
    public synchronized List<Run> runs() {
        return List.copyOf(runs);
    }

    TargetBehaviour behaviour() {
        return behaviour;
    }
}
