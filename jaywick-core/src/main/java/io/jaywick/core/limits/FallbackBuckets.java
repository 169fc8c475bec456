package io.jaywick.core.limits;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Buckets that a node uses while it reaches no holder of an account. Those of all nodes together stay within a part of
 * the overshoot. Not thread-safe.
 */
final class FallbackBuckets {

    private final String host;
    private final QuotaBounds bounds;
    private final Map<String, TokenBucket> buckets = new HashMap<>();
    private final Map<String, Long> limitedSinceNanos = new HashMap<>();
    private Map<String, QuotaLimit> limits = Map.of();
    private Roster hosts = new Roster(Set.of());
    private int nodes;
    private long hostsChangedNanos;

    private record Terms(double callsPerSecond, double capacity) {}

    FallbackBuckets(String host, QuotaBounds bounds) {
        this.host = host;
        this.bounds = bounds;
    }

    /**
     * Applies a view.
     *
     * @param nodeCount number of nodes among which the tokens are divided; it may count nodes that are not listed
     */
    void update(
            Map<String, Set<String>> hostsByDataCentre,
            int nodeCount,
            Map<String, QuotaLimit> newLimits,
            long nowNanos) {
        Set<String> listed = new HashSet<>();
        hostsByDataCentre.values().forEach(listed::addAll);
        Roster newHosts = new Roster(listed);
        if (newHosts.hash() != hosts.hash()) {
            hosts = newHosts;
            hostsChangedNanos = nowNanos;
        }
        nodes = nodeCount;
        limits = newLimits;
        limitedSinceNanos.keySet().retainAll(limits.keySet());
        limits.keySet().forEach(account -> limitedSinceNanos.putIfAbsent(account, nowNanos));
        buckets.keySet().retainAll(limits.keySet());
        buckets.forEach((account, bucket) -> {
            Terms terms = terms(account);
            bucket.resize(terms.callsPerSecond, terms.capacity, nowNanos);
        });
    }

    boolean tryTake(String account, long nowNanos) {
        return limits.containsKey(account)
                && buckets.computeIfAbsent(account, this::newBucket).tryTake(1, nowNanos);
    }

    /** When the tokens of an account are fewer than the nodes, only the first nodes by rank have one. */
    private Terms terms(String account) {
        QuotaLimit limit = limits.get(account);
        double tokens = bounds.fallbackCapacity(limit);
        int sharing = Math.min(nodes, (int) tokens);
        return sharing > 0 && hosts.holders(account, sharing).contains(host)
                ? new Terms(bounds.fallbackRate(limit) / sharing, tokens / sharing)
                : new Terms(0, 0);
    }

    /** Creates a bucket, which has filled since the node knows its part. */
    private TokenBucket newBucket(String account) {
        Terms terms = terms(account);
        long sinceNanos = Math.max(limitedSinceNanos.get(account), hostsChangedNanos);
        return new TokenBucket(terms.callsPerSecond, terms.capacity, sinceNanos);
    }
}
