package io.jaywick.cli.demo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.jaywick.core.snapshot.Snapshot;

/** Records when each server adopted which revision. Thread-safe. */
final class FleetObserver {

    /** The adoption of a revision by a server; {@code atNanos} is a reading of {@link System#nanoTime()}. */
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

    /** Returns the number of servers that hold this revision or a newer one. */
    synchronized int countServersAtLeastAt(long revision) {
        int count = 0;
        for (long adopted : revisionsByServer.values()) {
            if (adopted >= revision) {
                count++;
            }
        }
        return count;
    }

    /**
     * Returns the time at which the last server adopted this revision or a newer one for the first time, or
     * {@link Long#MIN_VALUE} when none did.
     */
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

    /** Returns the number of adoptions of a revision that was not higher than the previous one of the same server. */
    synchronized int regressions() {
        return regressions;
    }
}
