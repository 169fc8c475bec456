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
    private final Map<String, Long> held = new HashMap<>();
    private final Map<String, Long> heldSinceNanos = new HashMap<>();
    private final Map<String, Long> highest = new HashMap<>();
    private final Set<Long> bad = new HashSet<>();
    private final List<String> regressions = new ArrayList<>();
    private final List<String> badAdoptions = new ArrayList<>();
    private final Deque<Long> recentCalls = new ArrayDeque<>();
    private long firstFaultNanos;
    private long newestGood;
    private int mostCallsInSecond;

    DistributionOracle(VirtualTime time) {
        this.time = time;
    }

    void published(long revision, boolean good) {
        if (good) {
            newestGood = Math.max(newestGood, revision);
        } else {
            bad.add(revision);
        }
    }

    /** A new process holds nothing, but its server must not fall behind what it held before. */
    void started(String server) {
        held.remove(server);
    }

    void adopted(String server, long revision) {
        Long before = held.put(server, revision);
        heldSinceNanos.put(server, time.nowNanos());
        if (before != null && revision <= before || revision < highest.getOrDefault(server, 0L)) {
            regressions.add(server + " adopted revision " + revision + " after " + highest.get(server));
            noteFault();
        }
        highest.merge(server, revision, Math::max);
        if (bad.contains(revision)) {
            badAdoptions.add(server + " adopted the bad revision " + revision);
            noteFault();
        }
    }

    void sourceCalled() {
        long now = time.nowNanos();
        recentCalls.add(now);
        while (recentCalls.peek() <= now - SECOND_NANOS) {
            recentCalls.remove();
        }
        mostCallsInSecond = Math.max(mostCallsInSecond, recentCalls.size());
    }

    List<String> regressions() {
        return regressions;
    }

    List<String> badAdoptions() {
        return badAdoptions;
    }

    int mostCallsInSecond() {
        return mostCallsInSecond;
    }

    /** Servers of the list that do not hold the newest good revision or took it later than an instant. */
    List<String> laterThan(List<String> servers, long untilNanos) {
        List<String> late = new ArrayList<>();
        for (String server : servers) {
            long revision = held.getOrDefault(server, 0L);
            if (revision != newestGood) {
                late.add(server + " holds revision " + revision + ", the newest accepted is " + newestGood);
            } else if (heldSinceNanos.get(server) > untilNanos) {
                late.add(server + " took revision " + revision + " at "
                        + TimeUnit.NANOSECONDS.toMillis(heldSinceNanos.get(server)) + " ms");
            }
        }
        return late;
    }

    /** Virtual time of the first wrong adoption, or of the end of the run. */
    long faultNanos() {
        return firstFaultNanos == 0 ? time.nowNanos() : firstFaultNanos;
    }

    private void noteFault() {
        firstFaultNanos = firstFaultNanos == 0 ? time.nowNanos() : firstFaultNanos;
    }
}
