package io.jaywick.core.record;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/** Selects the record states of other processes that the next line reports. */
final class PeerStateSelector {

    /** Every peer reports a new process as soon as possible, so that its existence does not depend on a single line. */
    private static final int MAX_NEW_PROCESSES_PER_LINE = 8;

    /** States change with every line, so known processes are reported in round-robin order to keep lines short. */
    private static final int MAX_KNOWN_PROCESSES_PER_LINE = 2;

    private static final int MAX_TRACKED_SERVERS = 4_096;

    private final RecorderIdentity self;
    private final Supplier<? extends Collection<PeerRecordState>> peers;
    private final Map<String, PeerRecordState> lastWritten = new LinkedHashMap<>();
    private int nextIndex;

    PeerStateSelector(RecorderIdentity self, Supplier<? extends Collection<PeerRecordState>> peers) {
        this.self = self;
        this.peers = peers;
    }

    /** Returns the states for the next line and marks them as written. */
    List<PeerRecordState> nextStates() {
        List<PeerRecordState> current = new ArrayList<>(peers.get());
        current.removeIf(state -> state.server().equals(self.server()));
        List<PeerRecordState> selected = new ArrayList<>();
        for (PeerRecordState state : current) {
            PeerRecordState previous = lastWritten.get(state.server());
            boolean isNew = previous == null || previous.incarnation() != state.incarnation();
            if (isNew && selected.size() < MAX_NEW_PROCESSES_PER_LINE) {
                markWritten(state);
                selected.add(state);
            }
        }
        int knownCount = Math.min(MAX_KNOWN_PROCESSES_PER_LINE, current.size());
        for (int i = 0; i < knownCount; i++) {
            PeerRecordState state = current.get(Math.floorMod(nextIndex++, current.size()));
            if (!state.equals(lastWritten.get(state.server()))) {
                markWritten(state);
                selected.add(state);
            }
        }
        return selected;
    }

    private void markWritten(PeerRecordState state) {
        lastWritten.put(state.server(), state);
        if (lastWritten.size() > MAX_TRACKED_SERVERS) {
            lastWritten.keySet().remove(lastWritten.keySet().iterator().next());
        }
    }
}
