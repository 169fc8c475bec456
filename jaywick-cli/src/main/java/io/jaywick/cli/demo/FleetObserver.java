package io.jaywick.cli.demo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.jaywick.core.snapshot.Snapshot;

/** Sees which node adopted which revision when. Thread-safe. */
final class FleetObserver {

    /** One adoption of a revision. */
    record Adoption(String server, long revision, long atNanos) {}

    private final List<Adoption> adoptions = new ArrayList<>();
    private final Map<String, Long> revisionsByServer = new HashMap<>();
    private int regressions;

    synchronized void recordAdoption(String server, Snapshot snapshot) {
        adoptions.add(new Adoption(server, snapshot.revision(), System.nanoTime()));
        Long previous = revisionsByServer.put(server, snapshot.revision());
        if (previous != null && previous >= snapshot.revision()) {
            regressions++;
        }
    }

    /** Number of servers on this revision or a newer one. */
    synchronized int countServersAtLeastAt(long revision) {
        int count = 0;
        for (long adopted : revisionsByServer.values()) {
            if (adopted >= revision) {
                count++;
            }
        }
        return count;
    }

    /** Time of the last first adoption of the revision or a newer one over all servers. */
    synchronized long lastAdoptionNanos(long revision) {
        Map<String, Long> first = new HashMap<>();
        for (Adoption adoption : adoptions) {
            if (adoption.revision >= revision) {
                first.putIfAbsent(adoption.server, adoption.atNanos);
            }
        }
        long last = Long.MIN_VALUE;
        for (long nanos : first.values()) {
            last = Math.max(last, nanos);
        }
        return last;
    }

    synchronized boolean wasAdopted(long revision) {
        for (Adoption adoption : adoptions) {
            if (adoption.revision == revision) {
                return true;
            }
        }
        return false;
    }

    /** Adoptions of a revision that was not higher than the one held before. */
    synchronized int regressions() {
        return regressions;
    }
}
