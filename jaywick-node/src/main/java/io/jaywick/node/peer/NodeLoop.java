package io.jaywick.node.peer;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.scheduler.Scheduler;

/** Runs all tasks of one node's distribution service one after another on a worker of the scheduler. */
final class NodeLoop implements AutoCloseable {

    private final Scheduler scheduler;
    private final Scheduler.Worker worker;

    NodeLoop(Scheduler scheduler) {
        this.scheduler = scheduler;
        this.worker = scheduler.createWorker();
    }

    /** Returns the monotonic time. The scheduler reads a monotonic clock only for units finer than a millisecond. */
    long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(scheduler.now(TimeUnit.NANOSECONDS));
    }

    void execute(Runnable task) {
        try {
            worker.schedule(task);
        } catch (RejectedExecutionException e) {
            // The loop is closed.
            return;
        }
    }

    Disposable schedule(long delayMillis, Runnable task) {
        try {
            return worker.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            return Disposables.disposed();
        }
    }

    <T> CompletableFuture<T> call(Supplier<T> task) {
        CompletableFuture<T> result = new CompletableFuture<>();
        execute(() -> {
            try {
                result.complete(task.get());
            } catch (RuntimeException e) {
                result.completeExceptionally(e);
            }
        });
        return result;
    }

    /**
     * Passes the result of a future to the consumer, on this loop and exactly once. After the timeout the future is
     * cancelled and the consumer receives a {@link PeerException} of the kind TIMEOUT. The consumer is not called after
     * {@link #close}.
     */
    <T> void await(CompletableFuture<T> future, long timeoutMillis, BiConsumer<T, Throwable> consumer) {
        Await<T> await = new Await<>(consumer);
        Disposable timer = schedule(timeoutMillis, () -> {
            if (await.complete(null, new PeerException(PeerException.Kind.TIMEOUT, "no result within the timeout"))) {
                future.cancel(true);
            }
        });
        future.whenComplete((value, failure) -> execute(() -> {
            timer.dispose();
            await.complete(value, failure);
        }));
    }

    @Override
    public void close() {
        worker.dispose();
    }

    private static final class Await<T> {
        private final BiConsumer<T, Throwable> consumer;
        private boolean completed;

        Await(BiConsumer<T, Throwable> consumer) {
            this.consumer = consumer;
        }

        boolean complete(T value, Throwable failure) {
            if (completed) {
                return false;
            }
            completed = true;
            consumer.accept(value, failure);
            return true;
        }
    }
}
