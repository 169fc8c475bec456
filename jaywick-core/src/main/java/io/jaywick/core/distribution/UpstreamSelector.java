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
    private static final int MAX_CHILDREN = 16;

    /** First time that a node which did not answer is left out; it doubles with each further failure. */
    private static final long INITIAL_EXCLUSION_MILLIS = 1_000;

    /** A node that restarts is back within seconds. */
    private static final long MAX_EXCLUSION_MILLIS = 4_000;

    /** Failures this long ago say nothing of a node any more. */
    private static final long FAILURE_RETENTION_MILLIS = 30_000;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final String self;
    private final String dataCentre;
    private final Map<String, String> regionByDataCentre;
    private final LongSupplier nanoTime;
    private final Map<String, Exclusion> exclusions = new HashMap<>();

    private static final class Exclusion {
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
        List<String> dataCentreCandidates = new ArrayList<>();
        Map<String, String> bestByDataCentre = new HashMap<>();
        bestByDataCentre.put(dataCentre, self);
        for (Instance instance : instances) {
            String host = instance.host();
            if (host.equals(self) || instance.draining() || isExcluded(host, now)) {
                continue;
            }
            bestByDataCentre.merge(instance.dataCentre(), host, this::higherRanked);
            if (instance.dataCentre().equals(dataCentre) && rank(host) > rank(self)) {
                dataCentreCandidates.add(host);
            }
        }
        if (!dataCentreCandidates.isEmpty()) {
            return parentAmong(dataCentreCandidates);
        }
        List<String> regionCandidates = new ArrayList<>();
        Map<String, String> bestByRegion = new HashMap<>();
        bestByDataCentre.forEach((dataCentreName, host) -> {
            bestByRegion.merge(region(dataCentreName), host, this::higherRanked);
            if (region(dataCentreName).equals(region) && rank(host) > rank(self)) {
                regionCandidates.add(host);
            }
        });
        if (!regionCandidates.isEmpty()) {
            return parentAmong(regionCandidates);
        }
        List<String> otherRegionCandidates = new ArrayList<>();
        for (String host : bestByRegion.values()) {
            if (rank(host) > rank(self)) {
                otherRegionCandidates.add(host);
            }
        }
        return otherRegionCandidates.isEmpty() ? null : parentAmong(otherRegionCandidates);
    }

    /** The parent of the next place behind the better ones in a tree of bounded width. */
    private String parentAmong(List<String> candidates) {
        candidates.sort((a, b) -> Long.compare(rank(b), rank(a)));
        return candidates.get((candidates.size() - 1) / MAX_CHILDREN);
    }

    private String higherRanked(String a, String b) {
        return rank(a) >= rank(b) ? a : b;
    }

    private String region(String dataCentreName) {
        return regionByDataCentre.getOrDefault(dataCentreName, dataCentreName);
    }

    private static long rank(String host) {
        return RendezvousHash.score("reader", host);
    }

    private boolean isExcluded(String host, long now) {
        Exclusion exclusion = exclusions.get(host);
        return exclusion != null && now - exclusion.untilNanos < 0;
    }

    /** Notes that a node did not answer or is not in touch with the source. */
    public void recordFailure(String host) {
        long now = nanoTime.getAsLong();
        exclusions.values().removeIf(past -> now - past.untilNanos > FAILURE_RETENTION_MILLIS * NANOS_PER_MILLI);
        Exclusion exclusion = exclusions.computeIfAbsent(host, name -> new Exclusion());
        long millis = Math.min(MAX_EXCLUSION_MILLIS, INITIAL_EXCLUSION_MILLIS << Math.min(exclusion.failures, 10));
        exclusion.failures++;
        exclusion.untilNanos = now + millis * NANOS_PER_MILLI;
    }

    /** Notes that a node answered. */
    public void recordSuccess(String host) {
        exclusions.remove(host);
    }
}
