package io.jaywick.cli.virtual;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * A process under a server name: it can be killed, paused and woken, and reads a monotonic clock whose rate is wrong
 * by a fixed error. Work that arrives during a pause runs when the process wakes, as with a stopped virtual machine.
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
     * Starts a process.
     *
     * @param clockErrorPpm error of the clock's rate in parts per million
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

    /** Monotonic clock of the process. */
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

    /** True time at which the process continues: now, or the end of a pause that began within the running action. */
    public long trueNanos() {
        return Math.max(time.nowNanos(), pausedUntilNanos);
    }

    /** Ends the process; its work is lost. */
    public void kill() {
        alive = false;
        deferred.clear();
    }

    /** Stops the process for a time. */
    public void pause(long nanos) {
        pausedUntilNanos = Math.max(pausedUntilNanos, time.nowNanos() + nanos);
        time.schedule(nanos, this::runDeferred);
    }

    /** Stops the process within an action, just before it reads the clock again after some reads. */
    public void stallAfterReads(int reads, long nanos) {
        readsBeforeStall = reads;
        pendingStallNanos = nanos;
    }

    /** Runs an action in the process: now, when it wakes, or never when it is dead. */
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

    /** Runs an action in the process again and again; a pause skips the runs that it covers but one. */
    public void every(long nanos, Runnable action) {
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
