package io.jaywick.node.relay;

/** Schedules tasks on one thread; an implementation can use a simulated clock. */
@FunctionalInterface
interface TaskScheduler {

    /**
     * Schedules a task and returns an action that cancels it. Cancel a timer that is no longer needed, because it would
     * wake the thread.
     */
    Runnable schedule(Runnable task, long delayMillis);
}
