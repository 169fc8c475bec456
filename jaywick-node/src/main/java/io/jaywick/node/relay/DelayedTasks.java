package io.jaywick.node.relay;

/** Runs tasks later on one thread; tests give one that runs on their own clock. */
@FunctionalInterface
interface DelayedTasks {

    void runLater(Runnable task, long millis);
}
