package io.jaywick.cli.bench.limits;

import java.util.HashMap;
import java.util.Map;

import io.jaywick.cli.virtual.VirtualProcess;
import io.jaywick.core.snapshot.Snapshot;

/** One process of the fleet with its limiter, its active table version and the reports received from other servers. */
final class LimitNode {

    private final VirtualProcess process;
    private final long incarnation;
    private final Map<String, Long> reportedRevisions = new HashMap<>();
    private final Map<String, Long> lastReportNanos = new HashMap<>();
    private LimiterCore core;
    private Snapshot snapshot;

    LimitNode(VirtualProcess process, long incarnation) {
        this.process = process;
        this.incarnation = incarnation;
    }

    VirtualProcess process() {
        return process;
    }

    long incarnation() {
        return incarnation;
    }

    LimiterCore core() {
        return core;
    }

    void core(LimiterCore newCore) {
        core = newCore;
    }

    Snapshot snapshot() {
        return snapshot;
    }

    long revision() {
        return snapshot == null ? 0 : snapshot.revision();
    }

    /** Activates a version if it is newer than the active one. */
    void adopt(Snapshot candidate) {
        if (candidate.revision() > revision()) {
            snapshot = candidate;
            core.onSnapshot(candidate);
        }
    }

    /**
     * Records that another server has reported its active revision.
     *
     * @param revision active revision of that server, or 0 if it has none
     */
    void recordReport(String server, long revision, long trueNanos) {
        lastReportNanos.put(server, trueNanos);
        if (revision > 0) {
            reportedRevisions.put(server, revision);
        }
    }

    Map<String, Long> reportedRevisions() {
        return reportedRevisions;
    }

    boolean hasReportedSince(String server, long sinceNanos) {
        Long lastReport = lastReportNanos.get(server);
        return lastReport != null && lastReport >= sinceNanos;
    }
}
