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

/**
 * Checks the promises of distribution from the adoptions that nodes report, the published revisions and the calls to
 * the source. It does not read the state of the nodes.
 */
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

    /**
     * Records that a new process starts without a table. The highest revision that its server ever adopted is kept,
     * because a restarted server must not regress below it.
     */
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
            invalidAdoptions.add(server + " adopted the invalid revision " + revision);
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

    /**
     * Returns one message for each given server that does not hold the newest valid revision or adopted it after the
     * given virtual time.
     */
    List<String> findNotConvergedBy(List<String> servers, long untilNanos) {
        List<String> late = new ArrayList<>();
        for (String server : servers) {
            long revision = revisions.getOrDefault(server, 0L);
            if (revision != newestValidRevision) {
                late.add(server + " holds revision " + revision + ", the newest valid revision is "
                        + newestValidRevision);
            } else if (adoptedAtNanos.get(server) > untilNanos) {
                late.add(server + " adopted revision " + revision + " at "
                        + TimeUnit.NANOSECONDS.toMillis(adoptedAtNanos.get(server)) + " ms");
            }
        }
        return late;
    }

    /** Returns the virtual time of the first regression or invalid adoption, or the current time when there is none. */
    long firstViolationNanos() {
        return firstViolationNanos == 0 ? time.nowNanos() : firstViolationNanos;
    }

    private void recordViolationTime() {
        firstViolationNanos = firstViolationNanos == 0 ? time.nowNanos() : firstViolationNanos;
    }
}
