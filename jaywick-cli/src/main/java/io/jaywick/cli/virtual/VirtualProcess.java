package io.jaywick.cli.virtual;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * A simulated process of a server that can be killed and paused, with a monotonic clock whose rate has a fixed error.
 * Work that arrives during a pause is deferred and runs when the process resumes, as in a suspended virtual machine.
 */
public final class VirtualProcess implements LongSupplier {

    private static final double PARTS_PER_MILLION = 1e-6;

    private final String name;
    private final VirtualTime time;
    private final double clockRate;
    private final long offsetNanos;
    private final List<Runnable> deferred = new ArrayList<>();
    private boolean alive = true;
    private long pausedUntilNanos;
    private long pendingStallNanos;
    private int readsBeforeStall;

    /**
     * Creates a running process. Its clock has a random offset.
     *
     * @param name name of the server
     * @param time virtual time of the run
     * @param clockErrorPpm error of the clock's rate in parts per million; positive for a fast clock
     */
    public VirtualProcess(String name, VirtualTime time, double clockErrorPpm) {
        this.name = name;
        this.time = time;
        this.clockRate = 1 + clockErrorPpm * PARTS_PER_MILLION;
        this.offsetNanos = time.random().nextLong(-1L << 50, 1L << 50);
    }

    public String name() {
        return name;
    }

    public boolean isAlive() {
        return alive;
    }

    public boolean isPaused() {
        return pausedUntilNanos > time.nowNanos();
    }

    /** Reads the monotonic clock of the process in nanoseconds. A pending stall may begin at this read. */
    @Override
    public long getAsLong() {
        long trueNanos = Math.max(time.nowNanos(), pausedUntilNanos);
        if (pendingStallNanos > 0 && readsBeforeStall-- == 0) {
            trueNanos += pendingStallNanos;
            pausedUntilNanos = trueNanos;
            pendingStallNanos = 0;
            time.schedule(pausedUntilNanos - time.nowNanos(), this::runDeferred);
        }
        return offsetNanos + (long) (trueNanos * clockRate);
    }

    /** Returns the current virtual time, or the end of the pause when the process is paused or stalled. */
    public long trueNanos() {
        return Math.max(time.nowNanos(), pausedUntilNanos);
    }

    /** Kills the process and discards its deferred work. */
    public void kill() {
        alive = false;
        deferred.clear();
    }

    /** Pauses the process for a duration; a pause that ends later is not shortened. */
    public void pause(long nanos) {
        pausedUntilNanos = Math.max(pausedUntilNanos, time.nowNanos() + nanos);
        time.schedule(nanos, this::runDeferred);
    }

    /**
     * Stalls the process in the middle of an action, at a later read of its clock.
     *
     * @param reads number of reads before the one that stalls
     * @param nanos duration of the stall in nanoseconds
     */
    public void stallAfterReads(int reads, long nanos) {
        readsBeforeStall = reads;
        pendingStallNanos = nanos;
    }

    /** Runs an action immediately, when the process resumes if it is paused, or never if it was killed. */
    public void execute(Runnable action) {
        if (!alive) {
            return;
        }
        if (isPaused()) {
            deferred.add(action);
            return;
        }
        action.run();
    }

    /**
     * Runs an action periodically, with a random first delay of at most one period. Of the runs that fall into a pause,
     * only one takes place, after the pause.
     */
    public void schedulePeriodically(long nanos, Runnable action) {
        time.schedule(time.random().nextLong(1, nanos + 1), () -> repeat(nanos, action));
    }

    private void repeat(long nanos, Runnable action) {
        execute(() -> {
            action.run();
            time.schedule(nanos, () -> repeat(nanos, action));
        });
    }

    private void runDeferred() {
        if (!alive || isPaused()) {
            return;
        }
        List<Runnable> work = new ArrayList<>(deferred);
        deferred.clear();
        for (Runnable action : work) {
            execute(action);
        }
    }
}
