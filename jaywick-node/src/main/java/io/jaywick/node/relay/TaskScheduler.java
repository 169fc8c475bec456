package io.jaywick.node.relay;

/** Runs tasks later on one thread; tests give one that runs on their own clock. */
@FunctionalInterface
interface TaskScheduler {

    /** Runs a task later, unless the returned action is run before; an unneeded timer would wake the thread. */
    Runnable schedule(Runnable task, long delayMillis);
}
