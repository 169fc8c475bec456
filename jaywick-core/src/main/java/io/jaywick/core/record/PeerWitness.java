package io.jaywick.core.record;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/** Chooses which heads of other processes' records the next line names. */
final class PeerWitness {

    /** A new process is named at once by every peer, so that its existence does not hang on one line. */
    private static final int MAX_NEW_HEADS_PER_LINE = 8;

    /** Heads change with every line, so known processes are named in turn to keep lines short. */
    private static final int MAX_KNOWN_HEADS_PER_LINE = 2;

    private static final int MAX_REMEMBERED = 4_096;

    private final RecorderIdentity self;
    private final Supplier<? extends Collection<PeerRecordState>> peers;
    private final Map<String, PeerRecordState> written = new LinkedHashMap<>();
    private int turn;

    PeerWitness(RecorderIdentity self, Supplier<? extends Collection<PeerRecordState>> peers) {
        this.self = self;
        this.peers = peers;
    }

    List<PeerRecordState> take() {
        List<PeerRecordState> known = new ArrayList<>(peers.get());
        known.removeIf(head -> head.server().equals(self.server()));
        List<PeerRecordState> heads = new ArrayList<>();
        for (PeerRecordState head : known) {
            PeerRecordState before = written.get(head.server());
            boolean isNew = before == null || before.incarnation() != head.incarnation();
            if (isNew && heads.size() < MAX_NEW_HEADS_PER_LINE) {
                remember(head);
                heads.add(head);
            }
        }
        int named = Math.min(MAX_KNOWN_HEADS_PER_LINE, known.size());
        for (int i = 0; i < named; i++) {
            PeerRecordState head = known.get(Math.floorMod(turn++, known.size()));
            if (!head.equals(written.get(head.server()))) {
                remember(head);
                heads.add(head);
            }
        }
        return heads;
    }

    private void remember(PeerRecordState head) {
        written.put(head.server(), head);
        if (written.size() > MAX_REMEMBERED) {
            written.keySet().remove(written.keySet().iterator().next());
        }
    }
}
