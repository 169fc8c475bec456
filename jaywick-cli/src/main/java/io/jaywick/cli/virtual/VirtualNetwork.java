package io.jaywick.cli.virtual;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;
import java.util.random.RandomGenerator;

import io.jaywick.core.message.Message;
import io.jaywick.core.message.MessageHandler;
import io.jaywick.core.message.PeerLink;

/**
 * Network between virtual processes with delay, loss, duplication and partitions. A request that is lost or crosses a
 * partition either fails as a failed connection or is never answered, with equal probability; a lost reply is never
 * answered. The peer address of a process is its name.
 */
public final class VirtualNetwork {

    private static final long SAME_REGION_DELAY_NANOS = TimeUnit.MICROSECONDS.toNanos(200);

    private final VirtualTime time;
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    private final Map<String, Integer> sides = new HashMap<>();
    private final Map<String, String> regions = new HashMap<>();
    private ToLongFunction<Message> sizeOf = message -> 0;
    private double lossRatio;
    private double duplicateRatio;
    private long crossRegionDelayNanos = TimeUnit.MILLISECONDS.toNanos(12);
    private long jitterNanos = TimeUnit.MILLISECONDS.toNanos(3);
    private long maxLatenessNanos;
    private long messages;
    private long bytes;

    public VirtualNetwork(VirtualTime time) {
        this.time = time;
    }

    /** Connects a process. The most recently connected process of a name receives its messages. */
    public PeerLink connect(VirtualProcess process, String region, MessageHandler handler) {
        endpoints.put(process.name(), new Endpoint(process, handler));
        regions.put(process.name(), region);
        return (address, message) -> request(process, address, message);
    }

    /**
     * Sets the faults of the network.
     *
     * @param lost ratio of messages that are lost, from 0 to 1
     * @param duplicated ratio of messages that are delivered twice, from 0 to 1
     * @param lateMillis maximum additional delay of a duplicate and of a late message; 0 for none
     */
    public void setFaults(double lost, double duplicated, long lateMillis) {
        this.lossRatio = lost;
        this.duplicateRatio = duplicated;
        this.maxLatenessNanos = TimeUnit.MILLISECONDS.toNanos(lateMillis);
    }

    /**
     * Assigns a server to a side of a network partition. Servers on different sides do not reach each other. The
     * default side is 0.
     */
    public void assignToSide(String server, int side) {
        sides.put(server, side);
    }

    /** Removes the partition: all servers are on side 0 again. */
    public void healPartition() {
        sides.clear();
    }

    public boolean reaches(String from, String to) {
        return sides.getOrDefault(from, 0).equals(sides.getOrDefault(to, 0));
    }

    /** Resets the counters of messages and bytes and uses the given size of a message from now on. */
    public void startMeasuring(ToLongFunction<Message> size) {
        sizeOf = size;
        messages = 0;
        bytes = 0;
    }

    public long messages() {
        return messages;
    }

    public long bytes() {
        return bytes;
    }

    private CompletableFuture<Message> request(VirtualProcess from, String address, Message message) {
        CompletableFuture<Message> future = new CompletableFuture<>();
        transmit(from, address, message, () -> deliver(from, address, message, future), future);
        return future;
    }

    private void deliver(VirtualProcess from, String address, Message message, CompletableFuture<Message> future) {
        Endpoint endpoint = endpoints.get(address);
        if (endpoint == null || !endpoint.process.isAlive()) {
            fail(from, address, future);
            return;
        }
        endpoint.process.execute(() -> endpoint.handler.handle(message).whenComplete((reply, failure) -> {
            if (failure == null) {
                Runnable arrival = () -> from.execute(() -> future.complete(reply));
                transmit(endpoint.process, from.name(), reply, arrival, null);
            }
        }));
    }

    private void transmit(
            VirtualProcess from, String to, Message message, Runnable arrival, CompletableFuture<Message> future) {
        RandomGenerator random = time.random();
        messages++;
        bytes += sizeOf.applyAsLong(message);
        if (!reaches(from.name(), to) || random.nextDouble() < lossRatio) {
            if (future != null && random.nextBoolean()) {
                fail(from, to, future);
            }
            return;
        }
        // A process that stalls while it sends transmits the message after the stall.
        long stallNanos = from.trueNanos() - time.nowNanos();
        time.schedule(stallNanos + delayNanos(from.name(), to), arrival);
        if (random.nextDouble() < duplicateRatio) {
            time.schedule(stallNanos + delayNanos(from.name(), to) + random.nextLong(maxLatenessNanos + 1), arrival);
        }
    }

    private void fail(VirtualProcess from, String to, CompletableFuture<Message> future) {
        time.schedule(
                delayNanos(from.name(), to),
                () -> from.execute(() -> future.completeExceptionally(new UnreachableException(to))));
    }

    private long delayNanos(String from, String to) {
        boolean sameRegion = regions.getOrDefault(from, "").equals(regions.getOrDefault(to, ""));
        long base = sameRegion ? SAME_REGION_DELAY_NANOS : crossRegionDelayNanos;
        long delay = base + time.random().nextLong(jitterNanos + 1);
        // One message in a hundred is late when lateness is set, so that messages are reordered.
        return maxLatenessNanos > 0 && time.random().nextInt(100) == 0
                ? delay + time.random().nextLong(maxLatenessNanos + 1)
                : delay;
    }

    private record Endpoint(VirtualProcess process, MessageHandler handler) {}
}
