package io.jaywick.cli.scenario;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.jaywick.cli.virtual.VirtualTime;

/** Judges versions by what nodes adopted and when; it sees no state of the nodes. */
final class DistributionOracle {

    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final VirtualTime time;
    private final Map<String, Long> revisions = new HashMap<>();
    private final Map<String, Long> adoptedAtNanos = new HashMap<>();
    private final Map<String, Long> highestRevisions = new HashMap<>();
    private final Set<Long> invalidRevisions = new HashSet<>();
    private final List<String> regressions = new ArrayList<>();
    private final List<String> invalidAdoptions = new ArrayList<>();
    private final Deque<Long> recentCalls = new ArrayDeque<>();
    private long firstViolationNanos;
    private long newestValidRevision;
    private int maxCallsPerSecond;

    DistributionOracle(VirtualTime time) {
        this.time = time;
    }

    void recordPublication(long revision, boolean valid) {
        if (valid) {
            newestValidRevision = Math.max(newestValidRevision, revision);
        } else {
            invalidRevisions.add(revision);
        }
    }

    /** A new process holds nothing, but its server must not fall behind what it held before. */
    void recordStart(String server) {
        revisions.remove(server);
    }

    void recordAdoption(String server, long revision) {
        Long previous = revisions.put(server, revision);
        adoptedAtNanos.put(server, time.nowNanos());
        if (previous != null && revision <= previous || revision < highestRevisions.getOrDefault(server, 0L)) {
            regressions.add(server + " adopted revision " + revision + " after " + highestRevisions.get(server));
            recordViolationTime();
        }
        highestRevisions.merge(server, revision, Math::max);
        if (invalidRevisions.contains(revision)) {
            invalidAdoptions.add(server + " adopted the bad revision " + revision);
            recordViolationTime();
        }
    }

    void recordSourceCall() {
        long now = time.nowNanos();
        recentCalls.add(now);
        while (recentCalls.peek() <= now - SECOND_NANOS) {
            recentCalls.remove();
        }
        maxCallsPerSecond = Math.max(maxCallsPerSecond, recentCalls.size());
    }

    List<String> regressions() {
        return regressions;
    }

    List<String> invalidAdoptions() {
        return invalidAdoptions;
    }

    int maxCallsPerSecond() {
        return maxCallsPerSecond;
    }

    /** Servers of the list that do not hold the newest good revision or took it later than an instant. */
    List<String> findNotConvergedBy(List<String> servers, long untilNanos) {
        List<String> late = new ArrayList<>();
        for (String server : servers) {
            long revision = revisions.getOrDefault(server, 0L);
            if (revision != newestValidRevision) {
                late.add(server + " holds revision " + revision + ", the newest accepted is " + newestValidRevision);
            } else if (adoptedAtNanos.get(server) > untilNanos) {
                late.add(server + " took revision " + revision + " at "
                        + TimeUnit.NANOSECONDS.toMillis(adoptedAtNanos.get(server)) + " ms");
            }
        }
        return late;
    }

    /** Virtual time of the first wrong adoption, or of the end of the run. */
    long firstViolationNanos() {
        return firstViolationNanos == 0 ? time.nowNanos() : firstViolationNanos;
    }

    private void recordViolationTime() {
        firstViolationNanos = firstViolationNanos == 0 ? time.nowNanos() : firstViolationNanos;
    }
}
