package io.jaywick.core.distribution;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

import io.jaywick.core.fleet.Instance;
import io.jaywick.core.membership.RendezvousHash;

/**
 * Which node another one takes the news of the source from. Every node decides alone, from the instances that it knows:
 * nodes are ranked by rendezvous hash; the best one of a data centre follows the best ones of its region, those follow
 * the best one of all, and that one follows the source. The others of a data centre form a tree of bounded width below
 * their best one. A node follows only nodes of a better rank, so that no two views lead to a cycle. A node that did not
 * answer is left out for a time. Not thread-safe.
 */
public final class UpstreamSelector {

    /** Nodes that follow one node directly; at 740 nodes in a data centre the tree is three levels deep. */
    private static final int WIDTH = 16;

    /** First time that a node which did not answer is left out; it doubles with each further failure. */
    private static final long FIRST_AVOID_MILLIS = 1_000;

    /** A node that restarts is back within seconds. */
    private static final long MAX_AVOID_MILLIS = 4_000;

    /** Failures this long ago say nothing of a node any more. */
    private static final long FORGET_MILLIS = 30_000;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final String self;
    private final String dataCentre;
    private final Map<String, String> regionByDataCentre;
    private final LongSupplier nanoTime;
    private final Map<String, Silence> silent = new HashMap<>();

    private static final class Silence {
        private int failures;
        private long untilNanos;
    }

    /** Makes the choice for the node on a host. */
    public UpstreamSelector(
            String self, String dataCentre, Map<String, String> regionByDataCentre, LongSupplier nanoTime) {
        this.self = self;
        this.dataCentre = dataCentre;
        this.regionByDataCentre = regionByDataCentre;
        this.nanoTime = nanoTime;
    }

    /** Returns the host of the node to follow, or null when this node follows the source itself. */
    public String select(Collection<Instance> instances) {
        long now = nanoTime.getAsLong();
        String region = region(dataCentre);
        List<String> beside = new ArrayList<>();
        Map<String, String> heads = new HashMap<>();
        heads.put(dataCentre, self);
        for (Instance instance : instances) {
            String host = instance.host();
            if (host.equals(self) || instance.draining() || isSilent(host, now)) {
                continue;
            }
            heads.merge(instance.dataCentre(), host, this::better);
            if (instance.dataCentre().equals(dataCentre) && rank(host) > rank(self)) {
                beside.add(host);
            }
        }
        if (!beside.isEmpty()) {
            return place(beside);
        }
        List<String> near = new ArrayList<>();
        Map<String, String> regionHeads = new HashMap<>();
        heads.forEach((place, head) -> {
            regionHeads.merge(region(place), head, this::better);
            if (region(place).equals(region) && rank(head) > rank(self)) {
                near.add(head);
            }
        });
        if (!near.isEmpty()) {
            return place(near);
        }
        List<String> far = new ArrayList<>();
        for (String head : regionHeads.values()) {
            if (rank(head) > rank(self)) {
                far.add(head);
            }
        }
        return far.isEmpty() ? null : place(far);
    }

    /** The parent of the next place behind the better ones in a tree of bounded width. */
    private String place(List<String> better) {
        better.sort((a, b) -> Long.compare(rank(b), rank(a)));
        return better.get((better.size() - 1) / WIDTH);
    }

    private String better(String a, String b) {
        return rank(a) >= rank(b) ? a : b;
    }

    private String region(String place) {
        return regionByDataCentre.getOrDefault(place, place);
    }

    private static long rank(String host) {
        return RendezvousHash.score("reader", host);
    }

    private boolean isSilent(String host, long now) {
        Silence silence = silent.get(host);
        return silence != null && now - silence.untilNanos < 0;
    }

    /** Notes that a node did not answer or is not in touch with the source. */
    public void recordFailure(String host) {
        long now = nanoTime.getAsLong();
        silent.values().removeIf(past -> now - past.untilNanos > FORGET_MILLIS * NANOS_PER_MILLI);
        Silence silence = silent.computeIfAbsent(host, name -> new Silence());
        long millis = Math.min(MAX_AVOID_MILLIS, FIRST_AVOID_MILLIS << Math.min(silence.failures, 10));
        silence.failures++;
        silence.untilNanos = now + millis * NANOS_PER_MILLI;
    }

    /** Notes that a node answered. */
    public void recordSuccess(String host) {
        silent.remove(host);
    }
}
