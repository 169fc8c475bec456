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
 * Merges record lines in any order and however often repeated (I14). Counters are held for each process until
 * {@link #drain}; heads and shares are held to the end.
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

    /** Merges one line. */
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

    /** Number of processes and sets of counters in memory. */
    public long entriesInMemory() {
        return entriesInMemory;
    }

    /** Hands over every process as one line and forgets it; merging these lines restores the state. */
    public void drain(Consumer<RecordLine> consumer) {
        for (MergedProcess process : processes.values()) {
            consumer.accept(process.toLine());
        }
        processes.clear();
        entriesInMemory = 0;
    }

    /** Hands over every process with what it may hide, or null in place of a gap, and forgets the processes. */
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

    /** Processes that peers saw running but of which no line was merged. */
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
     * Agreed share of a party in an hour: that of the highest revision which any node reported in the last hour with a
     * report up to this one; -1 when there is none.
     */
    public int agreedPercent(String party, long hour) {
        TreeMap<Long, ReportedShare> reported = shares.get(party);
        Map.Entry<Long, ReportedShare> last = reported == null ? null : reported.floorEntry(hour);
        return last == null ? -1 : last.getValue().percent();
    }

    /** Agreed share of a party by the hour from which it applies, without hours that change nothing. */
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

    /** Of two shares under the same revision, which only a conflict of versions causes, the larger one counts. */
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

    /** Takes one merged process. */
    @FunctionalInterface
    public interface ProcessConsumer {

        /** @param gap what the process may hide, or null */
        void accept(MergedProcess process, ProcessGap gap);
    }
}
