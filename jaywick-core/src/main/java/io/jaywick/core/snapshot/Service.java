package io.jaywick.core.snapshot;

import java.util.List;
import java.util.Set;

/**
 * A service of the table.
 *
 * @param homeRegions regions in which its calls may be served; empty means any
 * @param coldStartCalls concurrent calls that a newly started target can handle
 * @param servers its servers, sorted by name
 */
public record Service(
        String name,
        Set<String> homeRegions,
        int slotsPerServer,
        int connectionsPerServer,
        int coldStartCalls,
        long timeoutMillis,
        List<Server> servers) {}
