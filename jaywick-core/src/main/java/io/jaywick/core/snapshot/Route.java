package io.jaywick.core.snapshot;

import java.util.List;
import java.util.Set;

/**
 * A route of the table with its services resolved.
 *
 * @param pathPrefix prefix of the paths of its calls; the route with the longest matching prefix is used
 * @param homeRegions regions in which its calls may be served; empty means any
 * @param importance calls with a larger value are shed later
 */
public record Route(
        String name,
        String pathPrefix,
        List<WeightedService> services,
        boolean idempotent,
        long timeoutMillis,
        Set<String> homeRegions,
        int importance) {}
