package io.jaywick.core.snapshot;

import java.util.Set;

/**
 * A client account of the table.
 *
 * @param limitCalls calls that it may make in any window
 * @param windowMillis length of the window
 * @param agreedSharePercent share of a server's capacity that it keeps under overload
 * @param homeRegions regions in which its calls may be served; empty means any
 * @param importance a larger number is shed later
 */
public record Party(
        String name,
        int limitCalls,
        long windowMillis,
        int agreedSharePercent,
        Set<String> homeRegions,
        int importance) {}
