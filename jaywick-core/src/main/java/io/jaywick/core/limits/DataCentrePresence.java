package io.jaywick.core.limits;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Data centres and nodes among which the quotas are divided. A data centre whose nodes vanish from the view may go on
 * without reaching the store, so it keeps its part for a time. Not thread-safe.
 */
final class DataCentrePresence {

    /** Longer than the network failures that the operators expect; until then the part of the data centre is unused. */
    private static final long RETENTION_NANOS = TimeUnit.MINUTES.toNanos(10);

    /** Time for which a starting node assumes nodes in each data centre of the settings, which it may not reach. */
    private static final long START_RETENTION_NANOS = TimeUnit.MINUTES.toNanos(1);

    private final Map<String, Presence> presences = new HashMap<>();

    private record Presence(long untilNanos, int nodes) {}

    DataCentrePresence(Collection<String> configured, long nowNanos) {
        configured.forEach(dataCentre -> presences.put(dataCentre, new Presence(nowNanos + START_RETENTION_NANOS, 0)));
    }

    void observe(Map<String, Set<String>> hostsByDataCentre, long nowNanos) {
        hostsByDataCentre.forEach((dataCentre, hosts) -> {
            Presence known = presences.get(dataCentre);
            int nodes = known == null ? hosts.size() : Math.max(known.nodes, hosts.size());
            presences.put(dataCentre, new Presence(nowNanos + RETENTION_NANOS, nodes));
        });
        presences.values().removeIf(presence -> presence.untilNanos - nowNanos <= 0);
    }

    int dataCentres() {
        return Math.max(1, presences.size());
    }

    int nodes() {
        return Math.max(1, presences.values().stream().mapToInt(Presence::nodes).sum());
    }
}
