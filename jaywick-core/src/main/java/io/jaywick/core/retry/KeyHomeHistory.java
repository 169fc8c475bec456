package io.jaywick.core.retry;

import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.Set;

import io.jaywick.core.routing.KeyHome;
import io.jaywick.core.snapshot.HomeRegions;
import io.jaywick.core.snapshot.Party;
import io.jaywick.core.snapshot.Route;
import io.jaywick.core.snapshot.Server;
import io.jaywick.core.snapshot.Service;
import io.jaywick.core.snapshot.Snapshot;

/**
 * Home servers of idempotency keys under the tables that were active within the last window. It determines until when
 * another server was the home of a key. Thread-safe.
 */
public final class KeyHomeHistory {

    /** Bounds the memory; for the time of a dropped snapshot, another server counts as the home of every key. */
    private static final int MAX_FORMER_SNAPSHOTS = 8;

    private record FormerSnapshot(Snapshot snapshot, long untilMillis) {}

    private final String server;
    private final long windowMillis;
    private final InstantSource clock;
    private final ArrayDeque<FormerSnapshot> former = new ArrayDeque<>();
    private Snapshot current;
    private long droppedUntilMillis;

    public KeyHomeHistory(String server, long windowMillis, InstantSource clock) {
        this.server = server;
        this.windowMillis = windowMillis;
        this.clock = clock;
    }

    /** Activates a table. */
    public synchronized void activate(Snapshot next) {
        if (next == current) {
            return;
        }
        long now = clock.millis();
        if (current != null && !hasSameKeyHomes(current, next)) {
            former.addLast(new FormerSnapshot(current, now));
        }
        current = next;
        while (former.size() > MAX_FORMER_SNAPSHOTS) {
            droppedUntilMillis = former.removeFirst().untilMillis();
        }
        for (Iterator<FormerSnapshot> oldest = former.iterator(); oldest.hasNext(); ) {
            if (now - oldest.next().untilMillis() < windowMillis + IdempotencyKeyRegistry.SAFETY_MARGIN_MILLIS) {
                break;
            }
            oldest.remove();
        }
    }

    /** Returns the time until which another server was the home of the key, in milliseconds since 1970, or 0. */
    public synchronized long otherHomeUntilMillis(String path, String partyName, String key) {
        long untilMillis = droppedUntilMillis;
        for (FormerSnapshot entry : former) {
            if (!server.equals(homeOf(entry.snapshot(), path, partyName, key))) {
                untilMillis = Math.max(untilMillis, entry.untilMillis());
            }
        }
        return untilMillis;
    }

    /** Returns the home server of a key under one table, or null if the table assigns none. */
    public static String homeOf(Snapshot snapshot, String path, String partyName, String key) {
        Party party = snapshot.parties().get(partyName);
        Route route = snapshot.routeFor(path);
        if (party == null || route == null || route.idempotent()) {
            return null;
        }
        Service service = KeyHome.service(route, partyName, key);
        if (service == null) {
            return null;
        }
        Set<String> regions = HomeRegions.intersection(route.homeRegions(), service.homeRegions(), party.homeRegions());
        Server home = regions == null ? null : KeyHome.server(service, regions, partyName, key);
        return home == null ? null : home.name();
    }

    private static boolean hasSameKeyHomes(Snapshot a, Snapshot b) {
        if (!a.dataCentres().equals(b.dataCentres())
                || !a.servers().equals(b.servers())
                || !a.routes().equals(b.routes())
                || !a.parties().keySet().equals(b.parties().keySet())) {
            return false;
        }
        for (Party party : a.parties().values()) {
            if (!party.homeRegions().equals(b.parties().get(party.name()).homeRegions())) {
                return false;
            }
        }
        return true;
    }
}
