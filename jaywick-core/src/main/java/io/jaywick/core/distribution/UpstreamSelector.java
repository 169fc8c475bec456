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
 * Selects the node from which a node reads the changes of the source. Every node decides on its own, from its view of
 * the instances. Nodes are ranked by rendezvous hash: the highest-ranked node of a data centre follows the
 * highest-ranked one of its region, that one follows the highest-ranked of all, and that one follows the source. The
 * other nodes of a data centre form a tree of bounded width below its highest-ranked node; the bound also applies
 * between data centres and between regions. A node follows only higher-ranked nodes, so differing views cannot form a
 * cycle. A node that did not answer is excluded for a time. Not thread-safe.
 */
public final class UpstreamSelector {

    /** Maximum number of direct followers in a tree; with 740 nodes in a data centre it is three levels deep. */
    private static final int MAX_CHILDREN = 16;

    /** First exclusion of a node that did not answer; the exclusion doubles with each further failure. */
    private static final long INITIAL_EXCLUSION_MILLIS = 1_000;

    /** Longest exclusion; a node that restarts is available again within seconds. */
    private static final long MAX_EXCLUSION_MILLIS = 4_000;

    /** Time after the end of an exclusion at which its failures are discarded, as they no longer describe the node. */
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

    /**
     * Creates a selector without exclusions.
     *
     * @param self host of this node
     * @param dataCentre data centre of this node
     * @param regionByDataCentre region of each data centre; a data centre that is missing is a region of its own
     * @param nanoTime monotonic clock in nanoseconds
     */
    public UpstreamSelector(
            String self, String dataCentre, Map<String, String> regionByDataCentre, LongSupplier nanoTime) {
        this.self = self;
        this.dataCentre = dataCentre;
        this.regionByDataCentre = regionByDataCentre;
        this.nanoTime = nanoTime;
    }

    /** Returns the host of the node to follow, or null when this node must follow the source itself. */
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

    /** Returns the parent of this node, whose position in a tree of bounded width comes next after the candidates. */
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

    /** Records that a node did not answer or cannot reach the source, and excludes it for a time. */
    public void recordFailure(String host) {
        long now = nanoTime.getAsLong();
        exclusions.values().removeIf(past -> now - past.untilNanos > FAILURE_RETENTION_MILLIS * NANOS_PER_MILLI);
        Exclusion exclusion = exclusions.computeIfAbsent(host, name -> new Exclusion());
        long millis = Math.min(MAX_EXCLUSION_MILLIS, INITIAL_EXCLUSION_MILLIS << Math.min(exclusion.failures, 10));
        exclusion.failures++;
        exclusion.untilNanos = now + millis * NANOS_PER_MILLI;
    }

    /** Records that a node answered, which discards its failures. */
    public void recordSuccess(String host) {
        exclusions.remove(host);
    }
}
