package io.jaywick.core.snapshot;

import java.util.Set;

/**
 * A client account of the table.
 *
 * @param limitCalls maximum number of its calls in any window
 * @param windowMillis length of the window
 * @param agreedSharePercent percentage of a server's capacity that it keeps under overload
 * @param homeRegions regions in which its calls may be served; empty means any
 * @param importance calls with a larger value are shed later
 */
public record Party(
        String name,
        int limitCalls,
        long windowMillis,
        int agreedSharePercent,
        Set<String> homeRegions,
        int importance) {}
