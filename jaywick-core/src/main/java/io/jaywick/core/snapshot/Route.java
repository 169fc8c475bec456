package io.jaywick.core.snapshot;

import java.util.List;
import java.util.Set;

/**
 * A route of the table with its services resolved.
 *
 * @param pathPrefix calls whose path starts with it take this route; the longest prefix wins
 * @param homeRegions regions in which its calls may be served; empty means any
 * @param importance a larger number is shed later
 */
public record Route(
        String name,
        String pathPrefix,
        List<WeightedService> services,
        boolean idempotent,
        long timeoutMillis,
        Set<String> homeRegions,
        int importance) {}
