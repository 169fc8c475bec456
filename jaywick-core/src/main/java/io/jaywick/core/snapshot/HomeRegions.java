package io.jaywick.core.snapshot;

import java.util.LinkedHashSet;
import java.util.Set;

/** Set operations on home regions; the empty set stands for any region. */
public final class HomeRegions {

    private HomeRegions() {}

    /**
     * Returns the regions allowed by every argument.
     *
     * @return the allowed regions, empty for any region, or null when no region is allowed
     */
    @SafeVarargs
    public static Set<String> intersection(Set<String>... homeRegions) {
        Set<String> result = null;
        for (Set<String> regions : homeRegions) {
            if (regions.isEmpty()) {
                continue;
            }
            if (result == null) {
                result = new LinkedHashSet<>(regions);
            } else {
                result.retainAll(regions);
            }
        }
        if (result == null) {
            return Set.of();
        }
        return result.isEmpty() ? null : result;
    }

    /** Returns whether a region is allowed by a result of {@link #intersection}, which may be null. */
    public static boolean allows(Set<String> homeRegions, String region) {
        return homeRegions != null && (homeRegions.isEmpty() || homeRegions.contains(region));
    }
}
