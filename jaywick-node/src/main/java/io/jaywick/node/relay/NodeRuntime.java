package io.jaywick.node.relay;

import java.util.Random;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;
import reactor.netty.resources.LoopResources;

/**
 * Event loop, clock, source of randomness and log that the components of one node share.
 *
 * @param loops resources with a single thread, which does all work of the node
 * @param loop event loop of that thread
 * @param nanoTime monotonic clock
 */
public record NodeRuntime(LoopResources loops, EventLoop loop, LongSupplier nanoTime, Random random, RelayLog log) {

    /** Starts a runtime with one new thread; unless the thread is a daemon, it keeps the process alive. */
    public static NodeRuntime start(System.Logger logger, boolean daemon) {
        LoopResources loops = LoopResources.create("relay", 1, daemon);
        return new NodeRuntime(
                loops,
                loops.onServer(false).next(),
                System::nanoTime,
                new Random(),
                new RelayLog(logger, System::nanoTime));
    }
}
