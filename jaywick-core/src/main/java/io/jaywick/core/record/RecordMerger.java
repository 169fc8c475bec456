package io.jaywick.core.record;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Merges record lines of many processes. The result depends neither on the order of the lines nor on repeated lines
 * (invariant I14). Counters of a process stay in memory until {@link #drain} or {@link #finish}; peer states and shares
 * stay for the lifetime of the merger.
 */
public final class RecordMerger {

    private record ProcessId(String server, long incarnation, long process) {}

    private record ReportedShare(long revision, int percent) {}

    private record IncarnationId(String server, long incarnation) {}

    private final Map<ProcessId, MergedProcess> processes = new HashMap<>();
    private final Map<IncarnationId, PeerRecordState> peerStates = new HashMap<>();
    private final Set<IncarnationId> incarnations = new HashSet<>();
    private final Map<String, TreeMap<Long, ReportedShare>> shares = new HashMap<>();
    private long entriesInMemory;

    public void merge(RecordLine line) {
        RecorderIdentity identity = line.identity();
        ProcessId id = new ProcessId(identity.server(), identity.incarnation(), identity.process());
        MergedProcess process = processes.get(id);
        if (process == null) {
            process = new MergedProcess(identity);
            processes.put(id, process);
            incarnations.add(new IncarnationId(identity.server(), identity.incarnation()));
            entriesInMemory++;
        }
        entriesInMemory += process.merge(line);
        for (PeerRecordState state : line.seen()) {
            peerStates.merge(new IncarnationId(state.server(), state.incarnation()), state, RecordMerger::laterState);
        }
        mergeShares(line.shares());
    }

    /** Number of processes plus number of their usage entries in memory. */
    public long entriesInMemory() {
        return entriesInMemory;
    }

    /** Passes every process as one line to the consumer and removes it. Merging these lines restores the state. */
    public void drain(Consumer<RecordLine> consumer) {
        for (MergedProcess process : processes.values()) {
            consumer.accept(process.toLine());
        }
        processes.clear();
        entriesInMemory = 0;
    }

    /**
     * Passes every process to the consumer, together with its gap, and removes the processes.
     *
     * @param peerStateSource merger whose peer states are used to find gaps
     */
    public void finish(ProcessConsumer consumer, RecordMerger peerStateSource) {
        for (MergedProcess process : processes.values()) {
            RecorderIdentity identity = process.identity();
            PeerRecordState state =
                    peerStateSource.peerStates.get(new IncarnationId(identity.server(), identity.incarnation()));
            consumer.accept(process, process.gap(state));
        }
        processes.clear();
        entriesInMemory = 0;
    }

    /** Gaps of the processes that peers reported but of which no line was merged. */
    public List<ProcessGap> processesWithoutLines() {
        List<ProcessGap> gaps = new ArrayList<>();
        peerStates.forEach((id, state) -> {
            if (!incarnations.contains(id)) {
                gaps.add(ProcessGap.withoutLines(state));
            }
        });
        return gaps;
    }

    /** Number of incarnations with at least one line. */
    public long incarnationCount() {
        return incarnations.size();
    }

    /** Names of the servers that wrote at least one line. */
    public Set<String> servers() {
        Set<String> servers = new HashSet<>();
        incarnations.forEach(id -> servers.add(id.server()));
        return servers;
    }

    /**
     * Returns the agreed share of a party in percent in an hour, or -1 when none was reported up to then. The share is
     * taken from the latest hour, up to and including the given one, in which a node reported the party; within that
     * hour, the highest revision applies.
     */
    public int agreedPercent(String party, long hour) {
        TreeMap<Long, ReportedShare> reported = shares.get(party);
        Map.Entry<Long, ReportedShare> last = reported == null ? null : reported.floorEntry(hour);
        return last == null ? -1 : last.getValue().percent();
    }

    /** Agreed share of a party in percent by the hour from which it applies; only hours that change it are listed. */
    public SortedMap<Long, Integer> agreedShares(String party) {
        TreeMap<Long, Integer> changes = new TreeMap<>();
        int percent = -1;
        for (Map.Entry<Long, ReportedShare> reported :
                shares.getOrDefault(party, new TreeMap<>()).entrySet()) {
            if (reported.getValue().percent() != percent) {
                percent = reported.getValue().percent();
                changes.put(reported.getKey(), percent);
            }
        }
        return changes;
    }

    /** Parties with a reported share. */
    public Set<String> partiesWithShare() {
        return shares.keySet();
    }

    private void mergeShares(AgreedShares reported) {
        if (reported != null) {
            reported.percents().forEach((party, percent) -> shares.computeIfAbsent(party, ignored -> new TreeMap<>())
                    .merge(reported.hour(), new ReportedShare(reported.revision(), percent), RecordMerger::newerShare));
        }
    }

    /**
     * Returns the share of the higher revision. Shares of the same revision differ only after a version conflict; then
     * the larger one is returned.
     */
    private static ReportedShare newerShare(ReportedShare a, ReportedShare b) {
        if (a.revision() != b.revision()) {
            return a.revision() > b.revision() ? a : b;
        }
        return a.percent() >= b.percent() ? a : b;
    }

    private static PeerRecordState laterState(PeerRecordState a, PeerRecordState b) {
        if (a.sequence() != b.sequence()) {
            return a.sequence() > b.sequence() ? a : b;
        }
        return new PeerRecordState(
                a.server(),
                a.incarnation(),
                a.sequence(),
                Math.max(a.claimedCalls(), b.claimedCalls()),
                Math.max(a.claimedDispatches(), b.claimedDispatches()));
    }

    /** Consumer of merged processes. */
    @FunctionalInterface
    public interface ProcessConsumer {

        /** @param gap usage that may be missing from the record of the process, or null when the record is complete */
        void accept(MergedProcess process, ProcessGap gap);
    }
}
