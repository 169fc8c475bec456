package io.jaywick.cli.bench;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

import io.jaywick.core.message.Message;
import io.jaywick.core.message.PeerLink;
import io.jaywick.node.frame.FrameCodec;
import reactor.core.scheduler.Scheduler;

/** Delays messages between regions and counts the bytes on each link between two regions, in both directions. */
final class RegionalTraffic {

    /** One-way latency between regions; see docs/design.md, section 1. */
    static final long LATENCY_MILLIS = 12;

    private final FrameCodec codec = new FrameCodec();
    private final Scheduler scheduler;
    private final Map<String, String> regionByAddress = new ConcurrentHashMap<>();
    private final Map<String, LongAdder> bytes = new ConcurrentHashMap<>();

    RegionalTraffic(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    void setRegion(String address, String region) {
        regionByAddress.put(address, region);
    }

    void recordBytes(String from, String to, long count) {
        String link = from.compareTo(to) < 0 ? from + "-" + to : to + "-" + from;
        bytes.computeIfAbsent(link, key -> new LongAdder()).add(count);
    }

    /** Returns the bytes sent so far on each link between two regions, in both directions. */
    Map<String, Long> bytesByLink() {
        Map<String, Long> result = new TreeMap<>();
        bytes.forEach((link, count) -> result.put(link, count.sum()));
        return result;
    }

    long totalBytes() {
        return bytes.values().stream().mapToLong(LongAdder::sum).sum();
    }

    /** Wraps the peer link of a node in a region, so that messages to other regions are delayed and counted. */
    PeerLink linkFrom(String region, PeerLink link) {
        return (address, message) -> {
            String to = regionByAddress.getOrDefault(address, region);
            if (to.equals(region)) {
                return link.request(address, message);
            }
            CompletableFuture<Message> reply = new CompletableFuture<>();
            recordMessage(region, to, message);
            scheduleDelayed(() -> link.request(address, message)
                    .whenComplete((answer, failure) -> scheduleDelayed(() -> {
                        if (failure != null) {
                            reply.completeExceptionally(failure);
                        } else {
                            recordMessage(region, to, answer);
                            reply.complete(answer);
                        }
                    })));
            return reply;
        };
    }

    private void recordMessage(String from, String to, Message message) {
        recordBytes(from, to, codec.encode(FrameCodec.CURRENT_VERSION, 1, message).length);
    }

    private void scheduleDelayed(Runnable task) {
        scheduler.schedule(task, LATENCY_MILLIS, TimeUnit.MILLISECONDS);
    }
}
