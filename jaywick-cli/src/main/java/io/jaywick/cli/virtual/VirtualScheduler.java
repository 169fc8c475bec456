package io.jaywick.cli.virtual;

import java.util.concurrent.TimeUnit;

import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.scheduler.Scheduler;

/**
 * Reactor scheduler of a virtual process. Tasks are deferred while the process is paused and discarded when it is
 * killed.
 */
public final class VirtualScheduler implements Scheduler {

    private final VirtualTime time;
    private final VirtualProcess process;

    public VirtualScheduler(VirtualTime time, VirtualProcess process) {
        this.time = time;
        this.process = process;
    }

    @Override
    public Disposable schedule(Runnable task) {
        return schedule(task, 0, TimeUnit.NANOSECONDS);
    }

    @Override
    public Disposable schedule(Runnable task, long delay, TimeUnit unit) {
        Disposable disposable = Disposables.single();
        time.schedule(
                unit.toNanos(delay),
                () -> process.execute(() -> {
                    if (!disposable.isDisposed()) {
                        task.run();
                    }
                }));
        return disposable;
    }

    @Override
    public long now(TimeUnit unit) {
        return unit.convert(process.getAsLong(), TimeUnit.NANOSECONDS);
    }

    @Override
    public Worker createWorker() {
        return new VirtualWorker();
    }

    private final class VirtualWorker implements Worker {

        private boolean disposed;

        @Override
        public Disposable schedule(Runnable task) {
            return schedule(task, 0, TimeUnit.NANOSECONDS);
        }

        @Override
        public Disposable schedule(Runnable task, long delay, TimeUnit unit) {
            return VirtualScheduler.this.schedule(
                    () -> {
                        if (!disposed) {
                            task.run();
                        }
                    },
                    delay,
                    unit);
        }

        @Override
        public void dispose() {
            disposed = true;
        }

        @Override
        public boolean isDisposed() {
            return disposed;
        }
    }
}
