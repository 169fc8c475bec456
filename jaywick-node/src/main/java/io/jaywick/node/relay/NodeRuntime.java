package io.jaywick.node.relay;

import java.util.Random;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;
import reactor.netty.resources.LoopResources;

/**
 * What the parts of one node run on.
 *
 * @param loops resources with one thread, which does all work of the node
 * @param loop that thread
 * @param nanoTime monotonic clock
 */
public record NodeRuntime(LoopResources loops, EventLoop loop, LongSupplier nanoTime, Random random, RelayLog log) {

    /** Makes a runtime on one new thread; the process lives as long as the thread unless it is a daemon. */
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
